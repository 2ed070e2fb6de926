/** Stand-in for the platform's metadata store, as the users' protocol page describes it. */

import {once} from 'node:events';
import {createServer} from 'node:http';

const LEASE_CHECK_MS = 50;

/** A store that never fails. */
export class Store {
  /** Changes the text of a value that an entry writes; links take the place of addresses by it. */
  translate = (key, text) => text;
  #items = new Map();
  #leases = new Map();
  #events = [];
  #revision = 1;
  #lastLease = 0;
  #waiting = new Set();
  #server = createServer((request, response) => {
    this.#serve(request, response).catch(() => response.destroy());
  });
  #timer = setInterval(() => this.#endLeases(), LEASE_CHECK_MS);

  /** Listens on a free port. Returns the address. */
  async listen() {
    this.#server.keepAliveTimeout = 60_000;
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    return `127.0.0.1:${this.#server.address().port}`;
  }

  close() {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes a JSON value as an operator or a worker does. */
  set(key, value) {
    const text = JSON.stringify(value);
    this.#put(key, Buffer.from(text).toString('base64'), 0);
    this.#wake();
  }

  delete(key) {
    this.#remove(key);
    this.#wake();
  }

  /** JSON values of all items with a prefix. */
  list(prefix) {
    return [...this.#items.values()]
      .filter(({key}) => key.startsWith(prefix))
      .map(({value}) => JSON.parse(Buffer.from(value, 'base64').toString()));
  }

  #put(key, value, lease) {
    this.#revision += 1;
    const created = this.#items.get(key)?.created_rev ?? this.#revision;
    const revision = this.#revision;
    const item = {key, value, revision, created_rev: created, lease};
    this.#items.set(key, item);
    this.#events.push(item);
  }

  #remove(key) {
    if (this.#items.delete(key)) {
      this.#revision += 1;
      this.#events.push({key, revision: this.#revision, tombstone: true});
    }
  }

  #wake() {
    for (const wake of [...this.#waiting]) {
      wake();
    }
  }

  #endLeases() {
    const nowMs = performance.now();
    for (const [id, {endsAtMs}] of this.#leases) {
      if (endsAtMs <= nowMs) {
        this.#endLease(id);
      }
    }
  }

  #endLease(id) {
    this.#leases.delete(id);
    for (const {key, lease} of [...this.#items.values()]) {
      if (lease === id) {
        this.#remove(key);
      }
    }
    this.#wake();
  }

  async #serve(request, response) {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const text = Buffer.concat(chunks).toString();
    const body = text === '' ? {} : JSON.parse(text);
    const url = new URL(request.url, 'http://store');
    const [status, answer] = await this.#answer(url, body, response);
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(JSON.stringify(answer));
  }

  async #answer({pathname, searchParams}, body, response) {
    if (pathname === '/-/kv-range') {
      const prefix = searchParams.get('prefix') ?? '';
      const after = searchParams.get('after') ?? '';
      const items = [...this.#items.values()]
        .filter(({key}) => key.startsWith(prefix) && key > after)
        .sort((left, right) => (left.key < right.key ? -1 : 1));
      const page = items.slice(0, 500);
      const hasMore = items.length > page.length;
      const current = this.#revision;
      return [200, {items: page, has_more: hasMore, current_rev: current}];
    }
    if (pathname === '/-/kv-key') {
      const item = this.#items.get(searchParams.get('key'));
      return item ? [200, {...item, current_rev: this.#revision}] : [404, {}];
    }
    if (pathname === '/-/kv-watch') {
      return this.#watch(searchParams, response);
    }
    if (pathname === '/-/kv-txn') {
      return this.#transact(body);
    }
    if (pathname === '/-/kv-lease') {
      const ttlMs = toMilliseconds(body.ttl_time);
      this.#lastLease += 1;
      const endsAtMs = performance.now() + ttlMs;
      this.#leases.set(this.#lastLease, {ttlMs, endsAtMs});
      return [200, {lease: this.#lastLease, ttl_time: `${ttlMs}ms`}];
    }
    const id = Number(pathname.split('/').at(-1));
    const lease = this.#leases.get(id);
    if (lease === undefined) {
      return [404, {}];
    }
    if (pathname.startsWith('/-/kv-keep/')) {
      lease.endsAtMs = performance.now() + lease.ttlMs;
    } else {
      this.#endLease(id);
    }
    return [200, {lease: id, ttl_time: `${lease.ttlMs}ms`}];
  }

  async #watch(searchParams, response) {
    const prefix = searchParams.get('prefix') ?? '';
    const after = Number(searchParams.get('after'));
    const find = () =>
      this.#events.filter(
        ({key, revision}) => revision > after && key.startsWith(prefix),
      );
    const endsAtMs = performance.now() + Number(searchParams.get('wait_ms'));
    while (find().length === 0 && performance.now() < endsAtMs) {
      if (response.destroyed) {
        break;
      }
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, endsAtMs - performance.now());
        this.#waiting.add(wake);
        response.once('close', wake);
      });
    }
    return [200, {events: find(), current_rev: this.#revision}];
  }

  #transact({expect = [], writes = [], deletes = []}) {
    const revisionOf = key => this.#items.get(key)?.revision ?? 0;
    if (expect.some(({key, revision}) => revisionOf(key) !== revision)) {
      const items = expect.flatMap(({key}) => this.#items.get(key) ?? []);
      return [412, {items}];
    }
    const isLeased = lease => !lease || this.#leases.has(lease);
    if (!writes.every(({lease}) => isLeased(lease))) {
      return [404, {}];
    }
    for (const {key, value, lease = 0} of writes) {
      const text = Buffer.from(value, 'base64').toString();
      const translated = Buffer.from(this.translate(key, text));
      this.#put(key, translated.toString('base64'), lease);
    }
    deletes.forEach(key => this.#remove(key));
    this.#wake();
    return [200, {revision: this.#revision}];
  }
}

function toMilliseconds(text) {
  const value = Number.parseFloat(text);
  return text.endsWith('ms') ? value : value * 1_000;
}
