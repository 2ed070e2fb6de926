/** Stand-in of a worker: runs requests in slots, drops those whose connection closes, and refuses those that aren't meant for it. */

import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {createServer} from 'node:http';

const SLOTS = 4;
const QUEUE = 16;
const DEFAULT_WORK_MS = 20;
const DEFAULT_BYTES = 200;

/** One worker. The query of a request may name the time of its work (`work`) and the size of its answer (`bytes`). */
export class Worker {
  #running = 0;
  #queue = [];
  #server;

  constructor({id, service, zone}) {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.born = Date.now();
    this.arrivals = [];
  }

  /** Listens at a free port. Returns its address. */
  async listen() {
    this.#server = createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 30_000;
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    this.address = `127.0.0.1:${this.#server.address().port}`;
    return this.address;
  }

  /** What it writes of itself to the store. */
  toRecord(state = 'ready') {
    return {
      address: this.address,
      born: this.born,
      info: {
        service: this.service,
        version: 'v1',
        zone: this.zone,
        slots: SLOTS,
      },
      status: {state, seq: 1, warmup_left: '0ms'},
    };
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(request, response) {
    const {headers, url, method} = request;
    const load = `${this.#running},${this.#queue.length},${SLOTS},100`;
    response.setHeader('Wasabidyke-Server-Load', load);
    if (url === '/health') {
      response.setHeader('Wasabidyke-Instance-Id', this.id);
      response.end();
      return;
    }
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const id = headers['wasabidyke-attempt-id'];
    const arrival = {id, method, url, worker: this.id, service: this.service};
    Object.assign(arrival, {atMs: Date.now(), hasRun: false});
    this.arrivals.push(arrival);
    response.setHeader('Wasabidyke-Attempt-Id', String(id));
    if (headers['wasabidyke-expected-instance'] !== this.id) {
      response.writeHead(421).end();
      return;
    }
    if (this.#running >= SLOTS && this.#queue.length >= QUEUE) {
      response.setHeader('Wasabidyke-Not-Executed', 'full');
      response.writeHead(503).end();
      return;
    }
    await this.#run(arrival, response, Buffer.concat(chunks));
  }

  async #run(arrival, response, body) {
    const deadlineMs = Number(
      response.req.headers['wasabidyke-request-deadline-ms'] ?? Infinity,
    );
    if (this.#running >= SLOTS) {
      await new Promise(resolve => this.#queue.push(resolve));
    }
    if (response.destroyed) {
      this.#queue.shift()?.();
      return;
    }
    const {searchParams} = new URL(arrival.url, 'http://worker');
    const workMs = Number(searchParams.get('work') ?? DEFAULT_WORK_MS);
    const bytes = Number(searchParams.get('bytes') ?? DEFAULT_BYTES);
    this.#running += 1;
    arrival.hasRun = true;
    arrival.startedAtMs = Date.now();
    const isDropped = await Promise.race([
      once(response, 'close').then(() => true),
      sleep(Math.min(workMs, deadlineMs)).then(() => false),
    ]);
    arrival.endedAtMs = Date.now();
    arrival.isDropped = isDropped;
    this.#running -= 1;
    this.#queue.shift()?.();
    if (isDropped) {
      return;
    }
    const seal = createHash('sha256').update(body).digest('hex').slice(0, 16);
    response.setHeader('Wasabidyke-Server-Seal', `${this.id}.${seal}`);
    if (workMs > deadlineMs) {
      response.writeHead(504).end();
      return;
    }
    const answer = Buffer.alloc(bytes, `${this.id} ran ${arrival.id}. `);
    response.setHeader('Content-Length', answer.length);
    response.end(answer);
  }
}

function sleep(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}
