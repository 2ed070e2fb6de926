/** The HTTP side of a worker. */

import {createHash, randomUUID} from 'node:crypto';
import {once} from 'node:events';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {Readable} from 'node:stream';
import {pipeline} from 'node:stream/promises';
import {setTimeout as sleep} from 'node:timers/promises';
import type {HistoryRecorder} from '../history/index.js';
import {createPayload, digestBlocks, type AnswerHead} from './answer.js';
import type {Worker, WorkItem} from './worker.js';

const KEEP_ALIVE_MS = 600_000;
const DEFAULT_PAYLOAD_BYTES = 64;
const CRASH_STATUS = 70;

/** The parts of a request that matter here. */
interface Work {
  readonly request: string;
  readonly key: string | null;
  readonly payloadBytes: number;
  readonly askedMs: number | undefined;
  readonly timeoutMs: number;
}

interface RequestBody {
  readonly bytes: number;
  readonly digest: string;
}

/** Chooses the worker that runs a request which arrived for `worker`. */
export type WorkerChooser = (worker: Worker) => Worker;

/** Serves a worker's address. */
export class WorkerListener {
  readonly #worker: Worker;
  readonly #history: HistoryRecorder;
  readonly #choose: WorkerChooser;
  readonly #server: Server;
  readonly #readyAtMs = new WeakMap<Socket, number>();

  constructor(worker: Worker, history: HistoryRecorder, choose: WorkerChooser) {
    this.#worker = worker;
    this.#history = history;
    this.#choose = choose;
    this.#server = createServer(
      {keepAliveTimeout: KEEP_ALIVE_MS, requestTimeout: 0},
      (request, response) => void this.#serve(request, response),
    );
    this.#server.maxConnections = worker.settings.connections;
    this.#server.on('connection', socket => this.#onConnection(socket));
  }

  /** Listens. Returns the address with its actual port. */
  async listen(): Promise<string> {
    const [host, port] = this.#worker.settings.address.split(':');
    this.#server.listen(Number(port), host);
    await once(this.#server, 'listening');
    const bound = this.#server.address();
    return typeof bound === 'object' ? `${host}:${bound?.port}` : host;
  }

  #onConnection(socket: Socket): void {
    this.#worker.counts.connections += 1;
    const {connectMs} = this.#worker.settings;
    this.#readyAtMs.set(socket, performance.now() + connectMs);
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    response.on('error', () => {});
    const waitMs =
      (this.#readyAtMs.get(request.socket) ?? 0) - performance.now();
    if (waitMs > 0) {
      await sleep(waitMs);
    }
    if (request.url === '/load') {
      this.#serveLoad(request, response);
      return;
    }
    const work = readWork(request);
    const {name, service} = this.#worker.settings;
    this.#worker.counts.received += 1;
    this.#history.record({
      kind: 'work-received',
      worker: name,
      request: work.request,
      service,
      key: work.key,
    });
    await this.#serveWork(work, request, response);
  }

  async #serveWork(
    work: Work,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request);
    if (body === undefined) {
      return;
    }
    if (this.#worker.faults.failFast) {
      this.#worker.counts.failed += 1;
      this.#end(response, 500, 'failed\n');
      return;
    }
    this.#submit(work, body, request.url ?? '', response);
  }

  #submit(
    work: Work,
    body: RequestBody,
    url: string,
    response: ServerResponse,
  ): void {
    const worker = this.#choose(this.#worker);
    const run = randomUUID();
    const arrivedAtMs = performance.now();
    let isEnding = false;
    const item: WorkItem = {
      askedMs: work.askedMs,
      onBegin: () => {
        if (performance.now() - arrivedAtMs > work.timeoutMs) {
          this.#shed(work, response);
          return false;
        }
        this.#recordBegin(worker, work, run, body);
        isEnding = this.#crashIfMarked(work, url, response);
        return true;
      },
      onEnd: () => {
        if (!isEnding) {
          void this.#answer(worker, work, run, body, response);
        }
      },
    };
    response.on('close', () => {
      if (!response.writableFinished && worker.cancel(item)) {
        worker.counts.cancelled += 1;
        this.#recordEnd(worker, work, run, 'cancelled');
      }
    });
    if (!worker.submit(item)) {
      this.#shed(work, response);
    }
  }

  async #answer(
    worker: Worker,
    work: Work,
    run: string,
    body: RequestBody,
    response: ServerResponse,
  ): Promise<void> {
    this.#recordEnd(worker, work, run, 'answered');
    const {answerLateMs, cutHalfway} = worker.faults;
    if (answerLateMs > 0) {
      await sleep(answerLateMs);
    }
    const payload = createPayload(run, work.payloadBytes);
    const head: AnswerHead = {
      request: work.request,
      key: work.key,
      worker: worker.settings.name,
      run,
      requestBytes: body.bytes,
      requestDigest: body.digest,
      payloadBytes: work.payloadBytes,
      payloadDigest: digestBlocks(payload),
    };
    const first = Buffer.from(`${JSON.stringify(head)}\n`);
    this.#writeHead(response, 200, first.length + work.payloadBytes);
    const chunks = [first, ...payload];
    if (cutHalfway) {
      await writeHalf(response, Buffer.concat(chunks));
      return;
    }
    await writeAll(response, chunks);
  }

  #serveLoad(request: IncomingMessage, response: ServerResponse): void {
    const text = JSON.stringify(this.#worker.report());
    this.#end(response, 200, text);
    const bytes =
      measureHead(request) + Buffer.byteLength(text) + measureAnswer(response);
    this.#worker.counts.loadReads += 1;
    this.#worker.counts.loadBytes += bytes;
    const worker = this.#worker.settings.name;
    this.#history.record({kind: 'load-read', worker, bytes});
  }

  #shed(work: Work, response: ServerResponse): void {
    const worker = this.#worker.settings.name;
    this.#worker.counts.shed += 1;
    this.#history.record({kind: 'work-shed', worker, request: work.request});
    response.setHeader('Wasabidyke-Outcome', 'not-run');
    this.#end(response, 503, 'shed\n');
  }

  #end(response: ServerResponse, status: number, text: string): void {
    this.#writeHead(response, status, Buffer.byteLength(text));
    response.end(text);
  }

  #writeHead(response: ServerResponse, status: number, bytes: number): void {
    const report = JSON.stringify(this.#worker.report());
    response.setHeader('endpoint-load-metrics', `JSON ${report}`);
    if (this.#worker.faults.leaving) {
      response.setHeader('Wasabidyke-Upstream-State', 'leaving');
    }
    response.setHeader('Content-Length', bytes);
    response.writeHead(status);
  }

  /** Ends the process, at once or later, if the request is marked to do so; returns whether it is. */
  #crashIfMarked(work: Work, url: string, response: ServerResponse): boolean {
    const {crashMarker} = this.#worker.faults;
    if (crashMarker === null || !url.includes(crashMarker)) {
      return false;
    }
    const query = new URLSearchParams(url.split('?')[1]);
    const afterMs = Number(query.get('endsAfterMs') ?? 0);
    if (query.get('endsWithinAnswer') === 'true') {
      this.#writeHead(response, 200, work.payloadBytes);
      response.write(Buffer.alloc(Math.floor(work.payloadBytes / 2)));
    }
    if (afterMs === 0) {
      this.#crash(work);
    } else {
      setTimeout(() => this.#crash(work), afterMs);
    }
    return true;
  }

  #crash(work: Work): void {
    const {name, service} = this.#worker.settings;
    this.#history.record({
      kind: 'crashed',
      worker: name,
      service,
      request: work.request,
    });
    process.exit(CRASH_STATUS);
  }

  #recordBegin(
    worker: Worker,
    work: Work,
    run: string,
    body: RequestBody,
  ): void {
    this.#history.record({
      kind: 'run-began',
      worker: worker.settings.name,
      service: worker.settings.service,
      request: work.request,
      key: work.key,
      run,
      requestDigest: body.digest,
    });
  }

  #recordEnd(
    worker: Worker,
    work: Work,
    run: string,
    end: 'answered' | 'cancelled',
  ): void {
    const {name} = worker.settings;
    const {request} = work;
    this.#history.record({kind: 'run-ended', worker: name, request, run, end});
  }
}

function readWork(request: IncomingMessage): Work {
  const query = new URLSearchParams(request.url?.split('?')[1] ?? '');
  const header = (name: string) => {
    const value = request.headers[name];
    return typeof value === 'string' ? value : undefined;
  };
  const asked = query.get('workMs');
  return {
    request: query.get('request') ?? header('wasabidyke-request-id') ?? '',
    key: header('idempotency-key') ?? null,
    payloadBytes: Number(query.get('size') ?? DEFAULT_PAYLOAD_BYTES),
    askedMs: asked === null ? undefined : Number(asked),
    timeoutMs: Number(header('wasabidyke-timeout-ms') ?? Infinity),
  };
}

async function readBody(
  request: IncomingMessage,
): Promise<RequestBody | undefined> {
  const hash = createHash('sha256');
  let bytes = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      hash.update(chunk);
      bytes += chunk.length;
    }
  } catch {
    return undefined;
  }
  return {bytes, digest: hash.digest('hex')};
}

async function writeAll(
  response: ServerResponse,
  chunks: readonly Buffer[],
): Promise<void> {
  try {
    await pipeline(Readable.from(chunks), response);
  } catch {
    // The entry went away, which the history tells from the caller's side.
  }
}

async function writeHalf(
  response: ServerResponse,
  content: Buffer,
): Promise<void> {
  const half = content.subarray(0, Math.floor(content.length / 2));
  await new Promise(resolve => response.write(half, resolve));
  response.socket?.resetAndDestroy();
}

/** Size of a request's head as it stood on the wire. */
function measureHead(request: IncomingMessage): number {
  const line = `${request.method} ${request.url} HTTP/1.1\r\n`;
  const headers = request.rawHeaders.reduce(
    (bytes, part) => bytes + Buffer.byteLength(part) + 2,
    0,
  );
  return line.length + headers + 2;
}

/** Size of an answer's head as it stood on the wire. */
function measureAnswer(response: ServerResponse): number {
  const {_header: head} = response as unknown as {_header?: string};
  return head?.length ?? 0;
}
