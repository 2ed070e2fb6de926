/** A worker of the users' platform whose answers follow a script, byte by byte. */

import {once} from 'node:events';
import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {writeEndlessly} from './endless-writer.js';
import {planEnding, type WorkerEnding} from './worker-ending.js';
import {parseHead, type WorkerRequest} from './worker-request.js';
import {WorkerWarmUp} from './worker-warm-up.js';
import {ODD_HEADER_BYTES, SLOW_MS, type WorkerScript} from './worker-script.js';

export {ODD_HEADER_BYTES, type WorkerScript} from './worker-script.js';

/** Last part of the paths of requests that crash the worker, and the time until it is back, in milliseconds. */
const CRASHING = '/crash';
const RESTART_MS = 300;

/** A chunk of 16 bytes. */
const SMALL_CHUNK = '10\r\n0123456789abcdef\r\n';

const HEAD_END = '\r\n\r\n';

/** Time after a refusal until it is written once more, in milliseconds. */
const REPEAT_MS = 60;

/** The worker. */
export class ScriptedWorker {
  id: string;
  script: WorkerScript = 'answers';
  /** Time that slow answers take, in milliseconds. */
  slowMs = SLOW_MS;
  /** When in its life a request that crashes the worker does so. */
  ending: WorkerEnding = 'before its answer';
  /** Called when it is back after a crash, before it takes connections. */
  onRestart: () => void = () => {};
  /** The load that it reports: running, waiting, slots, pace. */
  load = '0,0,4,100';
  /** Limit that it names in its answers, in requests per second. */
  limit: string | undefined;
  /** Rest that it asks for when it turns requests away, as the value of `Retry-After`; undefined if it turns none away. */
  rest: string | undefined;
  /** Whether its answers say that it leaves. */
  isLeaving = false;
  readonly warmUp = new WorkerWarmUp();
  /** Load queries that it got. */
  loadQueries = 0;
  /** Whether requests can crash it. */
  isCrashable = true;
  /** Whether load queries are answered. */
  isTalking = true;
  /** Time after which they are answered, in milliseconds. */
  talkDelayMs = 0;
  /** Connections that were opened. */
  opened = 0;
  readonly requests: WorkerRequest[] = [];
  /** Connections that ended while a request ran. */
  brokenOff = 0;
  #hasRefused = false;
  #isResetting = false;
  #isClosed = false;
  /** Whether a request that crashes it has silenced it. */
  #isSilent = false;
  #port = 0;
  #server: Server;
  readonly #sockets = new Set<Socket>();

  constructor(id: string) {
    this.id = id;
    this.#server = createServer(socket => this.#serve(socket));
  }

  async listen(): Promise<void> {
    this.#server.listen(this.#port, '127.0.0.1');
    await once(this.#server, 'listening');
    this.#port = (this.#server.address() as AddressInfo).port;
  }

  get address(): string {
    return `127.0.0.1:${this.#port}`;
  }

  /** Connections that are open. */
  get connections(): number {
    return this.#sockets.size;
  }

  /** From now on, each connection is reset as soon as it is open. */
  reset(): void {
    this.#isResetting = true;
    for (const socket of this.#sockets) {
      socket.resetAndDestroy();
    }
  }

  /** Ends at once, and is back at its address after a while. */
  crash(): void {
    this.#server.close();
    for (const socket of this.#sockets) {
      socket.resetAndDestroy();
    }
    setTimeout(() => void this.#restart(), RESTART_MS);
  }

  async #restart(): Promise<void> {
    if (!this.#isClosed) {
      this.#isSilent = false;
      this.onRestart();
      this.#server = createServer(socket => this.#serve(socket));
      await this.listen();
    }
  }

  /** Runs a request that crashes the worker. */
  #runCrashing(socket: Socket, {headers}: WorkerRequest): void {
    const requestId = headers.get('wasabidyke-attempt-id') ?? '';
    const plan = planEnding(this.ending, requestId);
    this.#isSilent ||= plan.isSilent;
    socket.write(plan.answer);
    const server = this.#server;
    const end = () => {
      // Another request may have crashed it first.
      if (server !== this.#server || !server.listening) {
        return;
      }
      if (plan.livesOn === true) {
        this.#isSilent = false;
      } else {
        this.crash();
      }
    };
    if (plan.endsAfterMs === 0) {
      end();
    } else {
      setTimeout(end, plan.endsAfterMs);
    }
  }

  close(): void {
    this.#isClosed = true;
    this.#server.close();
    for (const socket of this.#sockets) {
      socket.destroy();
    }
  }

  #serve(socket: Socket): void {
    let received: Buffer = Buffer.alloc(0);
    this.#sockets.add(socket);
    this.opened += 1;
    if (this.#isResetting) {
      socket.resetAndDestroy();
    }
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.#sockets.delete(socket));
    socket.on('data', chunk => {
      received = Buffer.concat([received, chunk]);
      received = this.#isSilent ? received : this.#read(socket, received);
    });
  }

  /** Answers the requests in `received`; returns what is left. */
  #read(socket: Socket, received: Buffer): Buffer {
    const headEnd = received.indexOf(HEAD_END);
    if (headEnd === -1) {
      return received;
    }
    const request = parseHead(received.subarray(0, headEnd).toString('latin1'));
    const length = Number(request.headers.get('content-length') ?? 0);
    const bodyAt = headEnd + HEAD_END.length;
    const isEarly = this.script === 'early' && length > 0;
    if (received.length < bodyAt + length && !isEarly) {
      return received;
    }
    const body = received.subarray(bodyAt, bodyAt + length).toString('latin1');
    if (request.path === '/load') {
      this.#answerLoad(socket);
    } else if (this.#isMisdirected(request.headers)) {
      socket.write(
        `HTTP/1.1 421 Misdirected\r\nWasabidyke-Attempt-Id: ${request.headers.get('wasabidyke-attempt-id')}\r\nWasabidyke-Instance-Id: ${this.id}\r\nContent-Length: 0${HEAD_END}`,
      );
    } else {
      this.requests.push({...request, body});
      if (this.isCrashable && request.path.endsWith(CRASHING)) {
        this.#runCrashing(socket, {...request, body});
        return Buffer.alloc(0);
      }
      this.#answer(socket, {...request, body});
    }
    return received.subarray(bodyAt + length);
  }

  /** Whether a request is meant for an earlier worker at this address. */
  #isMisdirected(headers: ReadonlyMap<string, string>): boolean {
    return (headers.get('wasabidyke-expected-instance') ?? this.id) !== this.id;
  }

  #answerLoad(socket: Socket): void {
    this.loadQueries += 1;
    if (this.script === 'endless-load') {
      const head = `HTTP/1.1 200 OK\r\nWasabidyke-Instance-Id: ${this.id}\r\nWasabidyke-Server-Load: ${this.load}`;
      writeEndlessly(socket, `${head}\r\nConnection: close${HEAD_END}`, 'body');
      return;
    }
    if (this.script === 'endless-load-chunks') {
      const head = `HTTP/1.1 200 OK\r\nWasabidyke-Instance-Id: ${this.id}`;
      const framing = `Transfer-Encoding: chunked${HEAD_END}`;
      writeEndlessly(socket, `${head}\r\n${framing}`, '1\r\nx\r\n');
      return;
    }
    if (this.script === 'repeats-load-refusal' && !this.#hasRefused) {
      this.#refuseTwice(socket, '');
      return;
    }
    if (this.isTalking) {
      const leaving = this.isLeaving ? '\r\nServer-Leaving: 1' : '';
      const head = `HTTP/1.1 200 OK\r\nWasabidyke-Instance-Id: ${this.id}\r\nWasabidyke-Server-Load: ${this.load}`;
      const answer = `${head}${this.warmUp.field}${leaving}\r\nContent-Length: 0${HEAD_END}`;
      setTimeout(() => socket.write(answer), this.talkDelayMs);
    }
  }

  /** Refuses a request, and writes the refusal once more later. */
  #refuseTwice(socket: Socket, fields: string): void {
    const refusal = `HTTP/1.1 503 Busy\r\nWasabidyke-Not-Executed: 1\r\n${fields}Content-Length: 0${HEAD_END}`;
    this.#hasRefused = true;
    socket.write(refusal);
    setTimeout(() => socket.write(refusal), REPEAT_MS);
  }

  #answer(socket: Socket, request: WorkerRequest): void {
    const requestId = request.headers.get('wasabidyke-attempt-id') ?? '';
    const idField = `Wasabidyke-Attempt-Id: ${requestId}\r\n`;
    const body = `${this.id} ran ${request.path}`;
    const limit =
      this.limit === undefined ? '' : `Server-Limit: ${this.limit}\r\n`;
    const leaving = this.isLeaving ? 'Server-Leaving: 1\r\n' : '';
    const signed = `Wasabidyke-Attempt-Id: ${requestId}\r\nWasabidyke-Server-Seal: seal-of-${this.id}\r\n${limit}${leaving}`;
    const length = `Content-Length: ${body.length}`;
    const chunkedHead = `HTTP/1.1 200 OK\r\n${signed}Transfer-Encoding: chunked${HEAD_END}`;
    const whole = `HTTP/1.1 200 OK\r\n${signed}${length}${HEAD_END}${body}`;
    if (this.rest !== undefined) {
      socket.write(
        `HTTP/1.1 503 Busy\r\n${idField}Wasabidyke-Not-Executed: 1\r\nRetry-After: ${this.rest}\r\nContent-Length: 0${HEAD_END}`,
      );
      return;
    }
    const onClose = () => (this.brokenOff += 1);
    socket.once('close', onClose);
    const done = () => socket.off('close', onClose);
    const runSlowly = () => {
      setTimeout(() => {
        done();
        socket.write(whole);
      }, this.slowMs);
    };
    switch (this.script) {
      case 'answers':
        socket.write(whole);
        break;
      case 'repeats-refusal':
      case 'repeats-refusal-without-id':
        if (this.#hasRefused) {
          runSlowly();
          return;
        }
        this.requests.pop();
        this.#refuseTwice(
          socket,
          this.script === 'repeats-refusal' ? idField : '',
        );
        break;
      case 'repeats-load-refusal':
        runSlowly();
        return;
      case 'cut-status':
        socket.end('HTTP/1.1 200 OK\r\n');
        break;
      case 'cut-header':
        socket.end(`HTTP/1.1 200 OK\r\n${signed.slice(0, -6)}`);
        break;
      case 'cut-head':
        socket.end(`HTTP/1.1 200 OK\r\n${signed}${length}\r\n`);
        break;
      case 'cut-head-reset':
        socket.write(`HTTP/1.1 200 OK\r\n${signed}`, () =>
          setTimeout(() => socket.resetAndDestroy(), SLOW_MS / 10),
        );
        break;
      case 'cut-head-after-informational':
        socket.write(`HTTP/1.1 103 Early${HEAD_END}`);
        socket.end(`HTTP/1.1 200 OK\r\n${signed}Connection: close\r\n`);
        break;
      case 'slow':
        runSlowly();
        return;
      case 'hangs':
        return;
      case 'sheds':
        socket.write(
          `HTTP/1.1 503 Busy\r\n${idField}Wasabidyke-Not-Executed: 1\r\nContent-Length: 0${HEAD_END}`,
        );
        break;
      case 'resets':
        socket.resetAndDestroy();
        break;
      case 'truncates':
        socket.end(whole.slice(0, -3));
        break;
      case 'unframed':
        socket.end(
          `HTTP/1.1 200 OK\r\n${signed}Connection: close${HEAD_END}${body}`,
        );
        break;
      case 'unframed-reset':
        socket.write(
          `HTTP/1.1 200 OK\r\n${signed}Connection: close${HEAD_END}${body.slice(0, 3)}`,
          () => setTimeout(() => socket.resetAndDestroy(), SLOW_MS / 10),
        );
        break;
      case 'foreign':
        socket.write(whole.replace(requestId, 'another'));
        break;
      case 'extra':
        socket.write(whole);
        setTimeout(() => socket.write(whole), SLOW_MS / 10);
        break;
      case 'early':
        socket.write(
          `HTTP/1.1 413 Too Large\r\n${signed}Content-Length: 0${HEAD_END}`,
        );
        break;
      case 'error':
        socket.write(
          `HTTP/1.1 500 Failed\r\n${signed}Content-Length: 0${HEAD_END}`,
        );
        break;
      case 'other-worker':
        socket.write(
          `HTTP/1.1 421 Misdirected\r\n${idField}Wasabidyke-Instance-Id: another\r\nContent-Length: 0${HEAD_END}`,
        );
        break;
      case 'endless-head':
        writeEndlessly(socket, 'HTTP/1.1 200 OK\r\n', 'Name: value\r\n');
        return;
      case 'endless-informational':
        writeEndlessly(socket, '', `HTTP/1.1 103 Early${HEAD_END}`);
        return;
      case 'endless-body':
        writeEndlessly(
          socket,
          `HTTP/1.1 200 OK\r\n${signed}Connection: close${HEAD_END}`,
          'body of bytes',
        );
        return;
      case 'endless-unsigned':
        writeEndlessly(
          socket,
          `HTTP/1.1 200 OK\r\nConnection: close${HEAD_END}`,
          'body of bytes',
        );
        return;
      case 'tiny-chunks':
        socket.write(`${chunkedHead}${'1\r\nx\r\n'.repeat(50_000)}`);
        return;
      case 'small-chunks':
        socket.write(`${chunkedHead}${SMALL_CHUNK.repeat(40_000)}`);
        return;
      case 'endless-chunks':
        writeEndlessly(socket, chunkedHead, '1\r\nx\r\n');
        return;
      case 'endless-extension':
        writeEndlessly(
          socket,
          `HTTP/1.1 200 OK\r\n${signed}Transfer-Encoding: chunked${HEAD_END}5;name=`,
          'value',
        );
        return;
      case 'endless-load':
      case 'endless-load-chunks':
        socket.write(whole);
        break;
      case 'has-odd-headers':
        socket.write(
          `HTTP/1.1 200 OK\r\n${signed}X-Cheese: ${ODD_HEADER_BYTES}\r\n${length}${HEAD_END}${body}`,
          'latin1',
        );
        break;
      case 'unsigned':
        socket.write(`HTTP/1.1 200 OK\r\n${length}${HEAD_END}${body}`);
        break;
    }
    done();
  }
}
