/** A sound worker of the platform, and its registration in the store. */

import {createHash, randomBytes} from 'node:crypto';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

const HEARTBEAT_MS = 1_500;

/** Runs requests; tells `onRun` of each when it begins to work on it. */
export class Worker {
  id = `i-${randomBytes(4).toString('hex')}`;
  #options;
  #sequence = 0;
  #running = 0;
  #timer;
  #server = createServer((request, response) => {
    this.#serve(request, response).catch(() => response.destroy());
  });

  /** @param options `service`, `zone`, `slots`, `store`, `onRun`, and `answer`, which returns `{workMs, body}` of a request. */
  constructor(options) {
    this.#options = options;
  }

  async start() {
    this.#server.keepAliveTimeout = 60_000;
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    this.born = Date.now();
    this.address = `127.0.0.1:${this.#server.address().port}`;
    this.#announce();
    this.#timer = setInterval(() => this.#announce(), HEARTBEAT_MS);
  }

  close() {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** The entry in the store changes when more than `seq` does. */
  #announce() {
    if (this.#sequence > 0) {
      return;
    }
    this.#sequence += 1;
    const {service, zone, slots, store} = this.#options;
    store.set(`servers/${this.id}`, {
      address: this.address,
      born: this.born,
      info: {service, version: 'v1', zone, slots},
      status: {state: 'ready', seq: this.#sequence, warmup_left: '0ms'},
    });
  }

  async #serve(request, response) {
    const {slots} = this.#options;
    const load = `${this.#running},0,${slots},100`;
    const common = {
      'wasabidyke-server-load': load,
      'wasabidyke-instance-id': this.id,
    };
    if (request.url === '/health') {
      response.writeHead(200, {...common, 'content-length': 0}).end();
      return;
    }
    const attempt = request.headers['wasabidyke-attempt-id'];
    const named = {...common, 'wasabidyke-attempt-id': attempt};
    const expected = request.headers['wasabidyke-expected-instance'];
    if (expected !== undefined && expected !== this.id) {
      request.resume();
      response.writeHead(421, {...named, 'content-length': 0}).end();
      return;
    }
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    if (this.#running >= slots) {
      const refusal = {'wasabidyke-not-executed': '1', 'content-length': 0};
      response.writeHead(503, {...named, ...refusal}).end();
      return;
    }
    this.#running += 1;
    const {onRun, answer} = this.#options;
    const {method, url} = request;
    onRun({attempt, worker: this.id, method, url});
    const {workMs, body} = answer(request);
    await sleep(workMs);
    this.#running -= 1;
    response.writeHead(200, {
      ...named,
      'wasabidyke-server-load': `${this.#running},0,${slots},100`,
      'wasabidyke-server-seal': createHash('sha1').update(body).digest('hex'),
      'content-length': body.length,
    });
    response.end(body);
  }
}
