/** Stand-in for a worker, as the users' protocol page describes it. */

import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

/** A sound worker. */
export class Worker {
  /** Requests that it began to work on. */
  runs = [];
  #running = 0;
  #queue = [];
  #options;
  #server = createServer((request, response) => {
    this.#serve(request, response).catch(() => response.destroy());
  });

  /** @param options `id`, `service`, `zone`, `slots`, `workMs` and `answerOf`, which returns the body of an answer. */
  constructor(options) {
    this.#options = {
      slots: 4,
      workMs: 30,
      answerOf: ({id}) => `${options.id} ran ${id}`,
      ...options,
    };
  }

  get id() {
    return this.#options.id;
  }

  /** Listens, and returns its record for the store. */
  async listen() {
    this.#server.keepAliveTimeout = 10_000;
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    this.address = `127.0.0.1:${this.#server.address().port}`;
    const {service, zone, slots} = this.#options;
    return {
      address: this.address,
      born: Date.now(),
      info: {service, version: '1', zone, slots},
      status: {state: 'ready', seq: 1, warmup_left: '0ms'},
    };
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(request, response) {
    const {slots, workMs, answerOf} = this.#options;
    const load = `${this.#running},${this.#queue.length},${slots},100`;
    response.setHeader('Wasabidyke-Server-Load', load);
    if (request.url === '/health') {
      response.setHeader('Wasabidyke-Instance-Id', this.id);
      response.end();
      return;
    }
    let bytes = 0;
    for await (const chunk of request) {
      bytes += chunk.length;
    }
    const {headers} = request;
    const id = headers['wasabidyke-attempt-id'];
    response.setHeader('Wasabidyke-Attempt-Id', id);
    if (headers['wasabidyke-expected-instance'] !== this.id) {
      response.writeHead(421).end();
      return;
    }
    if (this.#running >= slots) {
      if (this.#queue.length >= 4 * slots) {
        response.setHeader('Wasabidyke-Not-Executed', 'full');
        response.writeHead(503).end();
        return;
      }
      await new Promise(resolve => this.#queue.push(resolve));
    }
    if (!response.destroyed) {
      this.#running += 1;
      const tenant = headers['wasabidyke-tenant'];
      const run = {id, tenant, bytes, path: request.url};
      this.runs.push({...run, atMs: performance.now()});
      await sleep(workMs);
      this.#running -= 1;
      response.setHeader('Wasabidyke-Server-Seal', `seal.${this.id}.${id}`);
      response.end(answerOf(run));
    }
    this.#queue.shift()?.();
  }
}
