/** A machine is stopped as planned while callers send further requests on connections that it closes. */

import {randomBytes} from 'node:crypto';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {HOST, isTroubled, runCase, toConfiguration} from '../lib3/case.mjs';
import {Entry} from '../lib3/entry.mjs';
import {Link} from '../lib3/link.mjs';
import {Store} from '../lib3/store.mjs';
import {Worker} from '../lib3/worker.mjs';

const SERVICE = 'galeria-novios';
const WORKERS = 6;
const SLOTS = 3;
const WORK_MS = 100;
const DEADLINE_MS = 2_526;
const TIMEOUT_MS = 2_500;
const ANSWER_BYTES = 6_000_000;
/** The callers' link: 140 Mbit/s and 8 ms one way. */
const LINK = {delayMs: 8, bytesPerMs: 17_500};
const CALLERS = 4;
const LONGEST_FOLLOWING_MS = 130;
const PAUSE_MS = 200;
const ROUNDS = 8;
const CALM_MS = 2_000;
const GRACE_MS = 6_000;
/** The callers send nothing later than this after the signal, so that all answers are there before half of `grace`. */
const LAST_SEND_MS = 1_700;

/** Keeps one connection, on which further requests follow before the first is answered. */
class PipeliningCaller {
  #socket;
  #record;
  #waiting = [];
  #buffer = Buffer.alloc(0);
  #isClosing = false;
  /** All requests, with what came of them. */
  requests = [];

  constructor(port, record) {
    this.#record = record;
    this.#socket = connect({port, host: '127.0.0.1'});
    this.#socket.setMaxListeners(0);
    this.#socket.on('data', chunk => this.#onData(chunk));
    this.#socket.on('error', () => {});
    this.ended = new Promise(resolve => this.#socket.once('close', resolve));
    void this.#run();
  }

  stop() {
    this.#isClosing = true;
  }

  async #run() {
    while (!this.#isClosing && !this.#socket.destroyed) {
      this.#send();
      await sleep(Math.random() * LONGEST_FOLLOWING_MS);
      if (this.#isClosing || this.#socket.destroyed) {
        break;
      }
      this.#send();
      while (this.#waiting.length > 0 && !this.#socket.destroyed) {
        await sleep(10);
      }
      await sleep(PAUSE_MS * Math.random());
    }
    while (this.#waiting.length > 0 && !this.#socket.destroyed) {
      await sleep(10);
    }
    this.#socket.end();
  }

  #send() {
    const attempt = randomBytes(8).toString('hex');
    const request = {
      attempt,
      sentAtMs: performance.now(),
      endedAtMs: undefined,
      status: 0,
      bytes: 0,
      isWhole: false,
    };
    this.#record.add('sent', attempt, 'behind', this.#waiting.length);
    this.requests.push(request);
    this.#waiting.push(request);
    this.#socket.write(
      `GET /galeria/${attempt} HTTP/1.1\r\nHost: ${HOST}\r\nWasabidyke-Attempt-Id: ${attempt}\r\nWasabidyke-Request-Deadline-Ms: ${DEADLINE_MS}\r\n\r\n`,
    );
    this.#socket.once('close', () => {
      request.endedAtMs ??= performance.now();
    });
  }

  #onData(chunk) {
    this.#buffer = Buffer.concat([this.#buffer, chunk]);
    for (;;) {
      const [request] = this.#waiting;
      const headEnd = this.#buffer.indexOf('\r\n\r\n');
      if (request === undefined || headEnd < 0) {
        return;
      }
      const head = this.#buffer.subarray(0, headEnd).toString('latin1');
      const length = Number(/^content-length: (\d+)/im.exec(head)[1]);
      request.status = Number(/^HTTP\/1.1 (\d+)/.exec(head)[1]);
      request.bytes = this.#buffer.length - headEnd - 4;
      this.#isClosing ||= /^connection: close/im.test(head);
      if (request.bytes < length) {
        return;
      }
      request.isWhole = true;
      request.endedAtMs = performance.now();
      this.#record.add('answer', request.attempt, request.status, length);
      this.#waiting.shift();
      this.#buffer = this.#buffer.subarray(headEnd + 4 + length);
    }
  }
}

await runCase(async (record, directory) => {
  const store = new Store();
  const storeAddress = await store.listen();
  const route = {name: 'ver-galeria', prefix: '/galeria/', kind: 'safe'};
  const timeout = `${TIMEOUT_MS}ms`;
  store.set(
    'op/config',
    toConfiguration(7, [{...route, service: SERVICE, timeout}]),
  );
  const runs = new Set();
  const body = randomBytes(ANSWER_BYTES);
  for (let index = 0; index < WORKERS; index++) {
    const worker = new Worker({
      service: SERVICE,
      zone: 'kgn-a',
      slots: SLOTS,
      store,
      onRun: ({attempt, worker: id}) => {
        runs.add(attempt);
        record.add('run', attempt, 'at', id);
      },
      answer: () => ({workMs: WORK_MS, body}),
    });
    await worker.start();
  }

  const broken = [];
  let whole = 0;
  for (let round = 1; round <= ROUNDS; round++) {
    const entry = new Entry({
      name: `front-kgn-a-${round}`,
      zone: 'kgn-a',
      store: storeAddress,
      directory,
    });
    await entry.start();
    const link = new Link({port: entry.port, ...LINK});
    const port = await link.listen();
    const callers = Array.from(
      {length: CALLERS},
      () => new PipeliningCaller(port, record),
    );
    await sleep(CALM_MS);
    const signalledAtMs = performance.now();
    if (isTroubled) {
      record.add('SIGTERM', entry.name);
      entry.signal('SIGTERM');
    }
    await sleep(LAST_SEND_MS);
    callers.forEach(caller => caller.stop());
    await Promise.all(callers.map(({ended}) => ended));
    for (const request of callers.flatMap(({requests}) => requests)) {
      const {attempt, isWhole, sentAtMs, endedAtMs, status, bytes} = request;
      whole += Number(isWhole && status === 200);
      const isInTime =
        endedAtMs - sentAtMs < TIMEOUT_MS &&
        endedAtMs - signalledAtMs < GRACE_MS;
      if (!isWhole && runs.has(attempt) && isInTime) {
        broken.push(
          `${attempt}: status ${status}, ${bytes} bytes of ${ANSWER_BYTES}, ${Math.round(endedAtMs - signalledAtMs)} ms after the signal`,
        );
      }
    }
    link.close();
    if (isTroubled) {
      await entry.ended();
      record.add('process ended');
    } else {
      entry.signal('SIGKILL');
    }
  }
  record.add('whole answers', whole);
  if (whole === 0) {
    throw new Error('no answer came');
  }
  return broken;
});
