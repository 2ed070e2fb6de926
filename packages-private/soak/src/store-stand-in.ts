/** The platform's store, as far as entries, workers and operators use it here. */

import {once} from 'node:events';
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {nowMs} from './history.js';
import {readBody} from './read-body.js';
import {
  StorePast,
  type Item,
  type Lease,
  type StoreCopy,
} from './store-past.js';

/** How the store misbehaves. */
export type StoreFault = 'none' | 'busy' | 'silent' | 'slow' | 'lost' | 'away';

interface Event extends Partial<Item> {
  readonly key: string;
  readonly revision: number;
  readonly tombstone?: true;
}

interface Reply {
  readonly status: number;
  readonly body: object;
}

const SLOW_MS = 300;
const LEASE_CHECK_MS = 100;

/** Pause between what operators and workers write again after a drill, and time after which records of workers that left are gone again, in milliseconds. */
const REWRITE_PAUSE_MS = 20;
const REDELETE_MS = 1_500;

/** Writes of which a store that loses answers does one in this many without telling. */
const LOST_EVERY = 3;

/** The store. */
export class StoreStandIn {
  fault: StoreFault = 'none';
  /** Age of reads that may be old, in milliseconds. */
  staleMs = 0;
  /** What answers name as the era; undefined for none. */
  namedEra: string | undefined = '1';
  /** Calls that were answered, by method and path without its last part. */
  readonly calls = new Map<string, number>();
  /** Calls that renewed or ended a lease, by its id in this era. */
  readonly leaseUses = new Map<number, string[]>();
  readonly #past = new StorePast();
  /** Writes of operators and workers, with their time. */
  readonly #outside: Array<{
    readonly key: string;
    readonly text: string | undefined;
    readonly atMs: number;
  }> = [];
  readonly #watchingSockets = new Set<Socket>();
  readonly #silencedSockets = new WeakSet<Socket>();
  readonly #items = new Map<string, Item>();
  readonly #leases = new Map<number, Lease>();
  readonly #waiting = new Set<(isCut: boolean) => void>();
  readonly #server = createServer(
    (request, response) => void this.#serve(request, response),
  );
  readonly #leaseTimer = setInterval(() => this.#endLeases(), LEASE_CHECK_MS);
  #events: Event[] = [];
  #keptAfter = 0;
  #revision = 1;
  #lastLease = 0;
  #writes = 0;
  #completeReads = 0;

  /** Listens. Returns its address. */
  async listen(): Promise<string> {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  close(): void {
    clearInterval(this.#leaseTimer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes an item, or deletes it, as operators and workers do. */
  set(key: string, value: object | string | undefined): void {
    const text = typeof value === 'object' ? JSON.stringify(value) : value;
    this.#outside.push({key, text, atMs: nowMs()});
    this.#setText(key, text);
  }

  #setText(key: string, text: string | undefined): void {
    if (text === undefined) {
      this.#delete(key);
    } else {
      this.#put(key, Buffer.from(text).toString('base64'), 0);
    }
    this.#wake(false);
  }

  /** Complete reads that were answered, those that may be old included. */
  get completeReads(): number {
    return this.#completeReads;
  }

  /** The lease of an item; undefined if there is no item. */
  leaseOf(key: string): number | undefined {
    return this.#items.get(key)?.lease;
  }

  get revision(): number {
    return this.#revision;
  }

  /** Text of an item that stands now; undefined if there is none. */
  read(key: string): string | undefined {
    const value = this.#items.get(key)?.value;
    return value && Buffer.from(value, 'base64').toString('utf8');
  }

  /** Takes a copy to come back from. */
  copy(): StoreCopy {
    return {
      items: new Map(this.#items),
      leases: new Map([...this.#leases].map(([id, lease]) => [id, {...lease}])),
      revision: this.#revision,
      lastLease: this.#lastLease,
      takenAtMs: nowMs(),
    };
  }

  /** Goes away: connections are closed, and new ones as soon as they ask something. */
  leave(): void {
    this.fault = 'away';
    this.#wake(true);
    this.#server.closeAllConnections();
  }

  /** Comes back from a copy, in a new era: revisions and leases are given out again. */
  comeBackFrom({
    items,
    leases,
    revision,
    lastLease,
    takenAtMs,
  }: StoreCopy): void {
    this.#items.clear();
    items.forEach((item, key) => this.#items.set(key, item));
    this.#leases.clear();
    for (const [id, {ttlMs, endsAtMs}] of leases) {
      this.#leases.set(id, {ttlMs, endsAtMs: nowMs() + endsAtMs - takenAtMs});
    }
    this.#revision = revision;
    this.#lastLease = lastLease;
    this.leaseUses.clear();
    this.#completeReads = 0;
    this.#events = [];
    this.#keptAfter = revision;
    this.#past.clear();
    this.namedEra = String(Number(this.namedEra) + 1);
    this.fault = 'none';
  }

  /** Writes again what operators and workers wrote since a copy was taken, the last of each. */
  async rewrite({takenAtMs}: StoreCopy): Promise<void> {
    const lost = this.#outside.filter(({atMs}) => atMs >= takenAtMs);
    const last = new Map(lost.map(write => [write.key, write]));
    const isLast = (key: string, text: string | undefined) =>
      this.#outside.findLast(write => write.key === key)?.text === text;
    for (const {key, text} of last.values()) {
      if (text !== undefined && isLast(key, text)) {
        this.#setText(key, text);
        await sleep(REWRITE_PAUSE_MS);
      }
    }
    await sleep(REDELETE_MS);
    for (const {key, text} of last.values()) {
      if (text === undefined && isLast(key, text)) {
        this.#setText(key, undefined);
      }
    }
  }

  /** Answers nothing any more on the connections on which a watch waits; others and new ones work. Returns their number. */
  silenceWatches(): number {
    const count = this.#watchingSockets.size;
    this.#watchingSockets.forEach(socket => this.#silencedSockets.add(socket));
    return count;
  }

  /** Forgets its history and cuts the watches. */
  compact(): void {
    this.#events = [];
    this.#keptAfter = this.#revision;
    this.#wake(true);
  }

  #put(key: string, value: string, lease: number): void {
    this.#past.remember({items: this.#items, revision: this.#revision});
    this.#revision += 1;
    const item = {key, value, revision: this.#revision, lease};
    this.#items.set(key, item);
    this.#events.push(item);
  }

  #delete(key: string): void {
    if (this.#items.has(key)) {
      this.#past.remember({items: this.#items, revision: this.#revision});
      this.#items.delete(key);
      this.#revision += 1;
      this.#events.push({key, revision: this.#revision, tombstone: true});
    }
  }

  #wake(isCut: boolean): void {
    for (const end of [...this.#waiting]) {
      end(isCut);
    }
  }

  #endLeases(): void {
    for (const [id, {endsAtMs}] of this.#leases) {
      if (this.fault !== 'away' && endsAtMs <= nowMs()) {
        this.#endLease(id);
      }
    }
  }

  #endLease(id: number): void {
    this.#leases.delete(id);
    const bound = [...this.#items.values()].filter(({lease}) => lease === id);
    for (const {key} of bound) {
      this.#delete(key);
    }
    this.#wake(false);
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request);
    const fault = this.fault;
    if (fault === 'silent' || this.#silencedSockets.has(request.socket)) {
      return;
    }
    if (fault === 'away') {
      request.socket.destroy();
      return;
    }
    if (fault === 'busy') {
      this.#send(response, {status: 503, body: {}});
      return;
    }
    if (fault === 'slow') {
      await sleep(SLOW_MS);
    }
    const url = new URL(request.url ?? '/', 'http://store');
    this.#count(request.method ?? '', url);
    if (url.pathname === '/-/kv-watch') {
      await this.#watch(url, response);
      return;
    }
    const reply = this.#answer(url, body);
    const isWrite = request.method === 'POST';
    this.#writes += Number(isWrite);
    if (fault === 'lost' && isWrite && this.#writes % LOST_EVERY === 0) {
      response.destroy();
      return;
    }
    this.#send(response, reply);
  }

  #count(method: string, {pathname, searchParams}: URL): void {
    const kind = searchParams.has('serializable') ? ' old' : '';
    const call = `${method} ${pathname.replace(/\/\d+$/, '')}${kind}`;
    this.calls.set(call, (this.calls.get(call) ?? 0) + 1);
  }

  #send(response: ServerResponse, {status, body}: Reply): void {
    if (
      response.socket !== null &&
      this.#silencedSockets.has(response.socket)
    ) {
      return;
    }
    const era = this.namedEra === undefined ? {} : {'store-era': this.namedEra};
    response.writeHead(status, {'content-type': 'application/json', ...era});
    response.end(JSON.stringify(body));
  }

  #answer(url: URL, body: string): Reply {
    const {pathname, searchParams} = url;
    const leaseId = Number(pathname.split('/').at(-1));
    if (pathname === '/-/kv-range') {
      const prefix = searchParams.get('prefix') ?? '';
      this.#completeReads += Number(prefix === '');
      const isOld = searchParams.get('serializable') === '1';
      const old = isOld
        ? this.#past.stateAt(nowMs() - this.staleMs)
        : undefined;
      const {items: all, revision} = old ?? {
        items: this.#items,
        revision: this.#revision,
      };
      const items = [...all.values()].filter(({key}) => key.startsWith(prefix));
      return ok({items, has_more: false, current_rev: revision});
    }
    if (pathname === '/-/kv-txn') {
      return this.#write(JSON.parse(body) as {writes: Item[]});
    }
    if (pathname === '/-/kv-lease') {
      const {ttl_time: ttl} = JSON.parse(body) as {ttl_time: string};
      const ttlMs = Number.parseFloat(ttl);
      this.#lastLease += 1;
      this.#leases.set(this.#lastLease, {ttlMs, endsAtMs: nowMs() + ttlMs});
      return ok({lease: this.#lastLease, ttl_time: ttl});
    }
    const lease = this.#leases.get(leaseId);
    if (lease === undefined) {
      return {status: 404, body: {}};
    }
    const uses = this.leaseUses.get(leaseId) ?? [];
    this.leaseUses.set(leaseId, [...uses, pathname]);
    if (pathname.startsWith('/-/kv-keep/')) {
      lease.endsAtMs = nowMs() + lease.ttlMs;
    } else {
      this.#endLease(leaseId);
    }
    return ok({ttl_time: `${lease.ttlMs}ms`});
  }

  #write({writes}: {readonly writes: readonly Item[]}): Reply {
    if (writes.some(({lease}) => lease !== 0 && !this.#leases.has(lease))) {
      return {status: 404, body: {}};
    }
    for (const {key, value, lease} of writes) {
      this.#put(key, value, lease);
    }
    this.#wake(false);
    return ok({revision: this.#revision});
  }

  async #watch(url: URL, response: ServerResponse): Promise<void> {
    const after = Number(url.searchParams.get('after'));
    const waitMs = Number(url.searchParams.get('wait_ms'));
    const isKnown = () => after >= this.#keptAfter && after <= this.#revision;
    if (isKnown() && !this.#hasNews(after)) {
      const {socket} = response;
      if (socket !== null) {
        this.#watchingSockets.add(socket);
      }
      const isCut = await this.#wait(waitMs, response);
      if (socket !== null) {
        this.#watchingSockets.delete(socket);
      }
      if (isCut) {
        response.destroy();
        return;
      }
    }
    if (!isKnown()) {
      this.#send(response, {status: 410, body: {}});
      return;
    }
    if (this.fault === 'silent') {
      return;
    }
    const events = this.#events.filter(({revision}) => revision > after);
    this.#send(response, ok({events, current_rev: this.#revision}));
  }

  #hasNews(after: number): boolean {
    return (this.#events.at(-1)?.revision ?? 0) > after;
  }

  #wait(waitMs: number, response: ServerResponse): Promise<boolean> {
    return new Promise(resolve => {
      const end = (isCut: boolean) => {
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

function ok(body: object): Reply {
  return {status: 200, body};
}
