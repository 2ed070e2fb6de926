/** A worker of a service: runs requests in slots and tells the history of each that arrives. */

import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {
  nowMs,
  type ArrivalRecord,
  type History,
  type NamedLimit,
} from './history.js';
import {readBody} from './read-body.js';
import {readEnding, writeFirst, type WorkerEnding} from './worker-ending.js';

/** How a worker misbehaves. */
export type WorkerFault =
  | 'none'
  | 'slow'
  | 'errors'
  | 'truncates'
  | 'hangs'
  /** Each third request is refused, and the refusal written once more later. */
  | 'repeats-refusal'
  /** The connection ends within the head of the answer. */
  | 'cuts-head'
  /** Bodies in chunks of one byte, which don't end. */
  | 'tiny-chunks';

/** Slots, places in the queue, and the time of one run in milliseconds. */
const SLOTS = 4;
const QUEUE = 6;
const WORK_MS = 30;
const SLOW_WORK_MS = 400;

/** The body of a worker that answers in tiny chunks. */
const TINY_CHUNKS = '1\r\nx\r\n'.repeat(50_000);

/** Prefix of the paths of orders whose work takes long, and its time in milliseconds. */
export const LONG_PREFIX = '/long/';
const LONG_WORK_MS = 5_000;

/** Time after a refusal until it is written once more, in milliseconds, and how many requests come for each that is refused. */
const REPEAT_MS = 40;
const REFUSED_ONE_IN = 3;

/** One worker. Its identity changes with each start, its address doesn't. */
export class WorkerStandIn {
  fault: WorkerFault = 'none';
  /** Requests per second that it takes from all entries together; undefined if it names no limit. */
  requestsPerSecond: number | undefined;
  /** Rest that it asks for when it turns each request away, in seconds; undefined if it takes requests. */
  restSeconds: number | undefined;
  /** Whether all its answers say that it leaves. */
  isLeaving = false;
  /** Finds the entry that opened the connection from a port. */
  findSender: (port: number) => string | undefined = () => undefined;
  #namedLimit: NamedLimit | undefined;
  readonly #senders = new WeakMap<Socket, string | undefined>();
  /** Called when a request crashes it. */
  onCrash: () => void = () => {};
  id: string;
  service: string;
  readonly #history: History;
  readonly #queue: Array<() => void> = [];
  #server: Server;
  #port = 0;
  #running = 0;
  /** Whether a request that crashes it has silenced it. */
  #isSilent = false;

  constructor(id: string, service: string, history: History) {
    this.id = id;
    this.service = service;
    this.#history = history;
    this.#server = this.#create();
  }

  /** Listens, at its former port when it starts again. Returns its address. */
  async listen(): Promise<string> {
    this.#server.listen(this.#port, '127.0.0.1');
    await once(this.#server, 'listening');
    this.#port = (this.#server.address() as AddressInfo).port;
    return `127.0.0.1:${this.#port}`;
  }

  /** Ends at once: requests under way lose their connections. */
  crash(): void {
    this.#server.close();
    this.#server.closeAllConnections();
    this.#queue.length = 0;
    this.#running = 0;
  }

  /** Starts again under another identity, perhaps for another service. */
  async restart(id: string, service: string): Promise<void> {
    this.id = id;
    this.service = service;
    this.fault = 'none';
    this.nameLimit(undefined);
    this.restSeconds = undefined;
    this.isLeaving = false;
    this.#isSilent = false;
    this.#server = this.#create();
    await this.listen();
  }

  /** Names a limit in its answers from now on, or none. */
  nameLimit(requestsPerSecond: number | undefined): void {
    this.requestsPerSecond = requestsPerSecond;
    if (this.#namedLimit !== undefined) {
      this.#namedLimit.toMs = nowMs();
      this.#namedLimit = undefined;
    }
  }

  #addLimit(response: ServerResponse): void {
    const {requestsPerSecond} = this;
    if (requestsPerSecond === undefined) {
      return;
    }
    response.setHeader('Server-Limit', requestsPerSecond);
    if (this.#namedLimit === undefined) {
      this.#namedLimit = {
        worker: this.id,
        requestsPerSecond,
        fromMs: nowMs(),
        toMs: Infinity,
      };
      this.#history.limits.push(this.#namedLimit);
    }
  }

  /** Looked up only where checks need it. */
  #senderOf(socket: Socket): string | undefined {
    if (this.restSeconds === undefined && !this.isLeaving) {
      return undefined;
    }
    if (!this.#senders.has(socket)) {
      this.#senders.set(socket, this.findSender(socket.remotePort ?? 0));
    }
    return this.#senders.get(socket);
  }

  #askForRest(
    {sender}: ArrivalRecord,
    response: ServerResponse,
    restSeconds: number,
  ): void {
    if (sender !== undefined) {
      this.#history.rests.push({
        worker: this.id,
        entry: sender,
        fromMs: nowMs(),
        restMs: restSeconds * 1_000,
      });
    }
    response.setHeader('Wasabidyke-Not-Executed', 'resting');
    response.setHeader('Retry-After', restSeconds);
    response.writeHead(503).end();
  }

  #noteLeaving({sender, worker}: ArrivalRecord): void {
    if (this.isLeaving && sender !== undefined) {
      const {leavingAnswers} = this.#history;
      leavingAnswers.push({worker, entry: sender, atMs: nowMs()});
    }
  }

  #create(): Server {
    return createServer(
      (request, response) => void this.#serve(request, response),
    );
  }

  get #load(): string {
    return `${this.#running},${this.#queue.length},${SLOTS},100`;
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {headers, url = '/'} = request;
    if (this.#isSilent) {
      return;
    }
    response.setHeader('Wasabidyke-Server-Load', this.#load);
    if (this.isLeaving) {
      response.setHeader('Server-Leaving', '1');
    }
    if (url === '/health') {
      response.setHeader('Wasabidyke-Instance-Id', this.id);
      response.end();
      return;
    }
    const body = await readBody(request);
    const id = String(headers['wasabidyke-attempt-id']);
    const arrival: ArrivalRecord = {
      id,
      sender: this.#senderOf(request.socket),
      worker: this.id,
      service: this.service,
      path: url,
      body,
      account: headers['wasabidyke-tenant']?.toString(),
      hasKey: headers['wasabidyke-key'] !== undefined,
      atMs: nowMs(),
      hasRun: false,
    };
    this.#history.arrivals.push(arrival);
    response.setHeader('Wasabidyke-Attempt-Id', id);
    if (headers['wasabidyke-expected-instance'] !== this.id) {
      response.writeHead(421).end();
      return;
    }
    if (this.restSeconds !== undefined) {
      this.#askForRest(arrival, response, this.restSeconds);
      return;
    }
    const isNext = this.#history.arrivals.length % REFUSED_ONE_IN === 0;
    if (this.fault === 'repeats-refusal' && isNext) {
      refuseTwice(request.socket, id);
      return;
    }
    if (this.#running >= SLOTS && this.#queue.length >= QUEUE) {
      response.setHeader('Wasabidyke-Not-Executed', 'full');
      response.writeHead(503).end();
      return;
    }
    await this.#run(arrival, response);
  }

  async #run(arrival: ArrivalRecord, response: ServerResponse): Promise<void> {
    if (this.#running >= SLOTS) {
      await new Promise<void>(resolve => this.#queue.push(resolve));
    }
    if (response.destroyed) {
      // Its caller left while it waited: the slot goes to the next one.
      this.#queue.shift()?.();
      return;
    }
    this.#running += 1;
    arrival.hasRun = true;
    const ending = readEnding(arrival.path);
    if (ending !== undefined) {
      await this.#runCrashing(arrival, response, ending);
      return;
    }
    const onClose = () => (arrival.brokenOffAtMs = nowMs());
    response.once('close', onClose);
    const usualMs = this.fault === 'slow' ? SLOW_WORK_MS : WORK_MS;
    const isLong = arrival.path.startsWith(LONG_PREFIX);
    const workMs = isLong ? LONG_WORK_MS : usualMs;
    await new Promise(resolve => setTimeout(resolve, workMs));
    if (this.fault === 'hangs') {
      await once(response, 'close');
    } else if (!response.destroyed && !this.#isSilent) {
      response.off('close', onClose);
      this.#answer(arrival, response);
    }
    arrival.endedAtMs = nowMs();
    this.#running = Math.max(0, this.#running - 1);
    this.#queue.shift()?.();
  }

  /** Runs a request that crashes it, unless it ends for another reason before. */
  async #runCrashing(
    arrival: ArrivalRecord,
    response: ServerResponse,
    ending: WorkerEnding,
  ): Promise<void> {
    const {worker, id, body} = arrival;
    const server = this.#server;
    this.#isSilent ||= ending.firstAct === 'silence';
    response.setHeader('Wasabidyke-Server-Seal', `seal-${worker}`);
    writeFirst(ending, response, toAnswer(worker, id, body));
    if (ending.endsAfterMs > 0) {
      await new Promise(resolve => setTimeout(resolve, ending.endsAfterMs));
    }
    arrival.endedAtMs = nowMs();
    if (server === this.#server && server.listening) {
      this.onCrash();
    }
  }

  #answer(arrival: ArrivalRecord, response: ServerResponse): void {
    const text = toAnswer(arrival.worker, arrival.id, arrival.body);
    response.setHeader('Wasabidyke-Server-Seal', `seal-${arrival.worker}`);
    this.#addLimit(response);
    this.#noteLeaving(arrival);
    if (this.fault === 'errors') {
      response.writeHead(500).end();
    } else if (this.fault === 'truncates') {
      response.setHeader('Content-Length', Buffer.byteLength(text));
      response.write(text.slice(0, text.length / 2));
      setImmediate(() => response.destroy());
    } else if (this.fault === 'tiny-chunks') {
      response.socket?.write(
        `HTTP/1.1 200 OK\r\nWasabidyke-Attempt-Id: ${arrival.id}\r\nWasabidyke-Server-Seal: seal-${arrival.worker}\r\nTransfer-Encoding: chunked\r\n\r\n${TINY_CHUNKS}`,
      );
    } else if (this.fault === 'cuts-head') {
      response.socket?.end(
        `HTTP/1.1 200 OK\r\nWasabidyke-Attempt-Id: ${arrival.id}\r\nWasabi`,
      );
    } else {
      response.end(text);
    }
  }
}

/** Writes a refusal past the server, which takes one answer for each request. */
function refuseTwice(socket: Socket, id: string): void {
  const refusal = `HTTP/1.1 503 Busy\r\nWasabidyke-Not-Executed: 1\r\nWasabidyke-Attempt-Id: ${id}\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n`;
  socket.write(refusal);
  setTimeout(() => socket.writable && socket.write(refusal), REPEAT_MS);
}

/** What a worker answers to a request. */
export function toAnswer(worker: string, id: string, body: string): string {
  const digest = createHash('sha256').update(body).digest('hex');
  return `${worker} ran ${id} with ${digest}`;
}
