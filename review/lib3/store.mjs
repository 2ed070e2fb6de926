/** The platform's metadata store, as far as entries, workers and the operator use it. */

import {once} from 'node:events';
import {createServer} from 'node:http';

const MAXIMUM_PAGE_ITEMS = 500;

/** A store in memory: items, leases, watches and transactions. */
export class Store {
  #items = new Map();
  #leases = new Map();
  #events = [];
  #revision = 1;
  #lastLease = 0;
  #waiting = new Set();
  #server = createServer((request, response) => {
    this.#serve(request, response).catch(() => response.destroy());
  });
  #timer = setInterval(() => this.#endLeases(), 50);

  /** Listens on a free port; returns the address. */
  async listen() {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    return `127.0.0.1:${this.#server.address().port}`;
  }

  close() {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes a JSON value as the operator or a worker does; deletes the key without one. Returns the revision. */
  set(key, value) {
    if (value === undefined) {
      this.#delete(key);
    } else {
      const text = Buffer.from(JSON.stringify(value)).toString('base64');
      this.#put(key, text, 0);
    }
    this.#wake();
    return this.#revision;
  }

  /** Keys that begin with a prefix. */
  keys(prefix) {
    return [...this.#items.keys()].filter(key => key.startsWith(prefix));
  }

  /** The JSON value of a key; undefined if there is none. */
  read(key) {
    const item = this.#items.get(key);
    return item && JSON.parse(Buffer.from(item.value, 'base64').toString());
  }

  #put(key, value, lease) {
    this.#revision += 1;
    const created = this.#items.get(key)?.created_rev ?? this.#revision;
    const item = {key, value, revision: this.#revision, created_rev: created};
    this.#items.set(key, {...item, lease});
    this.#events.push({...item, lease});
  }

  #delete(key) {
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
    for (const [id, lease] of this.#leases) {
      if (lease.endsAtMs <= nowMs) {
        this.#endLease(id);
      }
    }
  }

  #endLease(id) {
    this.#leases.delete(id);
    for (const item of [...this.#items.values()]) {
      if (item.lease === id) {
        this.#delete(item.key);
      }
    }
    this.#wake();
  }

  async #serve(request, response) {
    const url = new URL(request.url, 'http://store');
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const text = Buffer.concat(chunks).toString();
    const body = text === '' ? {} : JSON.parse(text);
    const {status, content} = await this.#answer(url, body);
    const bytes = Buffer.from(JSON.stringify(content));
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': bytes.length,
      'store-era': '1',
    });
    response.end(bytes);
  }

  async #answer(url, body) {
    const {pathname, searchParams: query} = url;
    const id = Number(pathname.split('/').at(-1));
    if (pathname === '/-/kv-key') {
      const item = this.#items.get(query.get('key'));
      return item
        ? ok({...item, current_rev: this.#revision})
        : {status: 404, content: {current_rev: this.#revision}};
    }
    if (pathname === '/-/kv-range') {
      const prefix = query.get('prefix') ?? '';
      const after = query.get('after') ?? '';
      const found = [...this.#items.values()]
        .filter(({key}) => key.startsWith(prefix) && key > after)
        .sort((left, right) => (left.key < right.key ? -1 : 1));
      return ok({
        items: found.slice(0, MAXIMUM_PAGE_ITEMS),
        has_more: found.length > MAXIMUM_PAGE_ITEMS,
        current_rev: this.#revision,
      });
    }
    if (pathname === '/-/kv-watch') {
      return this.#watch(query);
    }
    if (pathname === '/-/kv-txn') {
      return this.#transact(body);
    }
    if (pathname === '/-/kv-lease') {
      this.#lastLease += 1;
      const lifetimeMs = Number.parseFloat(body.ttl_time);
      const endsAtMs = performance.now() + lifetimeMs;
      this.#leases.set(this.#lastLease, {lifetimeMs, endsAtMs});
      return ok({lease: this.#lastLease, ttl_time: `${lifetimeMs}ms`});
    }
    const lease = this.#leases.get(id);
    if (lease === undefined) {
      return {status: 404, content: {}};
    }
    if (pathname.startsWith('/-/kv-keep/')) {
      lease.endsAtMs = performance.now() + lease.lifetimeMs;
      return ok({ttl_time: `${lease.lifetimeMs}ms`});
    }
    this.#endLease(id);
    return ok({});
  }

  async #watch(query) {
    const after = Number(query.get('after'));
    const prefix = query.get('prefix') ?? '';
    const endsAtMs = performance.now() + Number(query.get('wait_ms'));
    for (;;) {
      const events = this.#events.filter(
        ({key, revision}) => revision > after && key.startsWith(prefix),
      );
      const leftMs = endsAtMs - performance.now();
      if (events.length > 0 || leftMs <= 0) {
        return ok({events, current_rev: this.#revision});
      }
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, leftMs);
        this.#waiting.add(wake);
      });
    }
  }

  #transact({expect = [], writes = [], deletes = []}) {
    const differs = expect.some(
      ({key, revision}) => (this.#items.get(key)?.revision ?? 0) !== revision,
    );
    if (differs) {
      const items = expect.flatMap(({key}) => this.#items.get(key) ?? []);
      return {status: 412, content: {items}};
    }
    if (writes.some(({lease}) => lease && !this.#leases.has(lease))) {
      return {status: 404, content: {}};
    }
    writes.forEach(({key, value, lease}) => this.#put(key, value, lease ?? 0));
    deletes.forEach(key => this.#delete(key));
    this.#wake();
    return ok({revision: this.#revision});
  }
}

function ok(content) {
  return {status: 200, content};
}
