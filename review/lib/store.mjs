/** Stand-in of the platform's store, with the drill and the silent connections that the pages name. */

import {once} from 'node:events';
import {createServer} from 'node:http';

const PAGE_ITEMS = 500;
const LEASE_CHECK_MS = 100;

/** The store. Operators and workers write by `set`. */
export class Store {
  /** Age of reads that may be old, in milliseconds. */
  staleMs = 0;
  #items = new Map();
  #events = [];
  #keptAfter = 0;
  #revision = 1;
  #leases = new Map();
  #lastLease = 0;
  #era = 1;
  #isAway = false;
  #address;
  #server;
  #waiting = new Set();
  #past = [];
  #silenced = new WeakSet();
  #sockets = new Set();
  #watching = new Set();
  #timer = setInterval(() => this.#endLeases(), LEASE_CHECK_MS);

  get revision() {
    return this.#revision;
  }

  /** Listens, at the former address after an absence. Returns the address. */
  async listen(port = 0) {
    this.#server = createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 60_000;
    this.#server.on('connection', socket => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
    });
    this.#server.listen(port, '127.0.0.1');
    await once(this.#server, 'listening');
    this.#address = this.#server.address();
    return `127.0.0.1:${this.#address.port}`;
  }

  close() {
    clearInterval(this.#timer);
    this.#wake(true);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes an item as an operator or a worker does; false while the store is away. */
  set(key, value) {
    if (this.#isAway) {
      return false;
    }
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    this.#put(key, text, 0);
    this.#wake(false);
    return true;
  }

  /** Takes a copy, from which the store may come back. */
  copy() {
    return {
      items: new Map(this.#items),
      leases: new Map([...this.#leases].map(([id, lease]) => [id, {...lease}])),
      revision: this.#revision,
    };
  }

  /** Goes away: connections are reset and refused. */
  async leave() {
    this.#isAway = true;
    this.#wake(true);
    const closed = once(this.#server, 'close');
    this.#server.close();
    for (const socket of this.#sockets) {
      socket.resetAndDestroy();
    }
    await closed;
  }

  /** Comes back from a copy. */
  async comeBackFrom(copy) {
    this.#items = new Map(copy.items);
    this.#leases = new Map(copy.leases);
    this.#revision = copy.revision;
    this.#events = [];
    this.#keptAfter = copy.revision;
    this.#past = [];
    this.#era += 1;
    await this.listen(this.#address.port);
    this.#isAway = false;
  }

  /** From now on nothing is answered on the connections on which a watch waits; others and new ones work. */
  silenceWaiting() {
    for (const socket of this.#watching) {
      this.#silenced.add(socket);
    }
    return this.#watching.size;
  }

  #put(key, value, lease) {
    this.#remember();
    this.#revision += 1;
    const known = this.#items.get(key);
    const created_rev = known?.created_rev ?? this.#revision;
    const item = {key, value, revision: this.#revision, created_rev, lease};
    this.#items.set(key, item);
    this.#events.push(item);
  }

  #delete(key) {
    if (this.#items.has(key)) {
      this.#remember();
      this.#items.delete(key);
      this.#revision += 1;
      this.#events.push({key, revision: this.#revision, tombstone: true});
    }
  }

  /** Keeps the state before a change, for reads that may be old. */
  #remember() {
    const state = {untilMs: Date.now(), items: new Map(this.#items)};
    this.#past.push({...state, revision: this.#revision});
  }

  #stateAt(atMs) {
    const past = this.#past.find(({untilMs}) => untilMs > atMs);
    return past ?? {items: this.#items, revision: this.#revision};
  }

  #wake(isCut) {
    for (const end of [...this.#waiting]) {
      end(isCut);
    }
  }

  #endLeases() {
    for (const [id, {endsAtMs}] of this.#leases) {
      if (!this.#isAway && endsAtMs <= Date.now()) {
        this.#endLease(id);
      }
    }
  }

  #endLease(id) {
    this.#leases.delete(id);
    for (const {key, lease} of [...this.#items.values()]) {
      if (lease === id) {
        this.#delete(key);
      }
    }
    this.#wake(false);
  }

  #send(response, status, body) {
    if (this.#silenced.has(response.socket)) {
      return;
    }
    response.writeHead(status, {
      'content-type': 'application/json',
      'store-era': String(this.#era),
    });
    response.end(JSON.stringify(body));
  }

  async #serve(request, response) {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    if (this.#silenced.has(request.socket)) {
      return;
    }
    const body = Buffer.concat(chunks).toString('utf8');
    const url = new URL(request.url, 'http://store');
    const path = url.pathname;
    if (path === '/-/kv-watch') {
      await this.#watch(url, response);
    } else if (path === '/-/kv-range') {
      this.#range(url, response);
    } else if (path === '/-/kv-key') {
      const item = this.#items.get(url.searchParams.get('key'));
      const status = item === undefined ? 404 : 200;
      this.#send(response, status, {
        ...item,
        current_rev: this.#revision,
      });
    } else if (path === '/-/kv-txn') {
      this.#write(JSON.parse(body), response);
    } else if (path === '/-/kv-lease') {
      const {ttl_time} = JSON.parse(body);
      const ttlMs = toMilliseconds(ttl_time);
      this.#lastLease += 1;
      this.#leases.set(this.#lastLease, {ttlMs, endsAtMs: Date.now() + ttlMs});
      this.#send(response, 200, {lease: this.#lastLease, ttl_time});
    } else {
      this.#onLease(path, response);
    }
  }

  #onLease(path, response) {
    const id = Number(path.split('/').at(-1));
    const lease = this.#leases.get(id);
    if (lease === undefined) {
      this.#send(response, 404, {});
      return;
    }
    if (path.startsWith('/-/kv-keep/')) {
      lease.endsAtMs = Date.now() + lease.ttlMs;
    } else {
      this.#endLease(id);
    }
    this.#send(response, 200, {lease: id, ttl_time: `${lease.ttlMs}ms`});
  }

  #range(url, response) {
    const {searchParams} = url;
    const prefix = searchParams.get('prefix') ?? '';
    const after = searchParams.get('after') ?? '';
    const mayBeOld = searchParams.get('serializable') === '1';
    const {items, revision} = this.#stateAt(
      mayBeOld ? Date.now() - this.staleMs : Infinity,
    );
    const all = [...items.values()]
      .filter(({key}) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    this.#send(response, 200, {
      items: all.slice(0, PAGE_ITEMS),
      has_more: all.length > PAGE_ITEMS,
      current_rev: revision,
    });
  }

  #write({expect = [], writes = [], deletes = []}, response) {
    const isMet = expect.every(
      ({key, revision}) => (this.#items.get(key)?.revision ?? 0) === revision,
    );
    if (!isMet) {
      const items = expect.flatMap(({key}) => this.#items.get(key) ?? []);
      this.#send(response, 412, {items});
      return;
    }
    if (writes.some(({lease}) => lease > 0 && !this.#leases.has(lease))) {
      this.#send(response, 404, {});
      return;
    }
    writes.forEach(({key, value, lease = 0}) => this.#put(key, value, lease));
    deletes.forEach(key => this.#delete(key));
    this.#wake(false);
    this.#send(response, 200, {revision: this.#revision});
  }

  async #watch(url, response) {
    const after = Number(url.searchParams.get('after'));
    const waitMs = Number(url.searchParams.get('wait_ms'));
    const prefix = url.searchParams.get('prefix') ?? '';
    const isKnown = () => after >= this.#keptAfter && after <= this.#revision;
    if (isKnown() && after === this.#revision) {
      const {socket} = response;
      this.#watching.add(socket);
      const isCut = await this.#wait(waitMs, response);
      this.#watching.delete(socket);
      if (isCut) {
        response.destroy();
        return;
      }
    }
    if (!isKnown()) {
      this.#send(response, 410, {});
      return;
    }
    const events = this.#events.filter(
      ({key, revision}) => revision > after && key.startsWith(prefix),
    );
    this.#send(response, 200, {events, current_rev: this.#revision});
  }

  #wait(waitMs, response) {
    return new Promise(resolve => {
      const end = isCut => {
        clearTimeout(timer);
        this.#waiting.delete(end);
        resolve(isCut);
      };
      const timer = setTimeout(() => end(false), waitMs);
      this.#waiting.add(end);
      response.once('close', () => end(true));
    });
  }
}

function toMilliseconds(text) {
  const amount = Number.parseFloat(text);
  return text.endsWith('ms') ? amount : amount * 1_000;
}
