/** A site with one tenant that has a quota, its clients, and the check of the rule. */

import {createHash} from 'node:crypto';
import {Agent, request as send} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {startEntries} from './entries.mjs';
import {Store} from './store.mjs';
import {Worker} from './worker.mjs';

const HOST = 'linen.example';
const SERVICE = 'scheduler';

/** Quotas of the site are 1.6 times the usual requests of their tenants. */
const USUAL_SHARE = 1 / 1.6;

/** A tenant with the quota of the bench's example. */
export const LARGE_TENANT = {name: 'hotel', rate: 121, burst: 121};
/** Largest factor of a surge of one tenant that the site names. */
export const SURGE_FACTOR = 7.5;

/** Bounds of the site. */
const WINDOW_MS = 5_000;
const OVERSHOOT = 0.1;
const SLACK = 20;
const DEADLINE_MS = 1_500;
const CLIENTS = 60;

/** How long a list of entries counts, and how long an answer to it may take. */
const LIST_AGE_MS = 2_000;
const LIST_TIMEOUT_MS = 1_000;

const REGION_BY_ZONE = {'home-a': 'home', 'home-b': 'home'};
const ZONES = Object.keys(REGION_BY_ZONE);
const WORKERS = 4;

/** The site. */
export class QuotaSite {
  store = new Store();
  workers = [];
  entries = [];
  calls = new Map();
  #clients = [];
  #note;
  #tenant;

  constructor(note, tenant = LARGE_TENANT) {
    this.#note = note;
    this.#tenant = tenant;
  }

  /** Requests of the tenant per second, as usual. */
  get usualPerSecond() {
    return Math.round(this.#tenant.rate * USUAL_SHARE);
  }

  /** Most requests that may be run in a window. */
  get #bound() {
    const {rate, burst} = this.#tenant;
    const allowed = (rate * WINDOW_MS) / 1_000 + burst;
    return allowed * (1 + OVERSHOOT) + SLACK;
  }

  /** Starts the workers, the entries and the clients. @param onPorts As of `startEntries`. */
  async start(entryCount, onPorts) {
    const storeAddress = await this.store.listen();
    while (this.workers.length < WORKERS) {
      const id = `i-${this.workers.length + 1}`;
      const zone = ZONES[this.workers.length % ZONES.length];
      const options = {id, service: SERVICE, zone, slots: 16, workMs: 20};
      const worker = new Worker(options);
      this.store.set(`servers/${id}`, await worker.listen());
      this.workers.push(worker);
    }
    this.store.set('op/config', toConfiguration(this.#tenant));
    this.entries = await startEntries({
      storeAddress,
      zones: Array.from(
        {length: entryCount},
        (_, index) => ZONES[index % ZONES.length],
      ),
      regionByZone: REGION_BY_ZONE,
      more: {quotas: {window: '5s', overshoot: OVERSHOOT, slack: SLACK}},
      onPorts,
    });
    this.#note(`${this.entries.length} entries are ready`);
    await sleep(2_000);
    this.#clients = Array.from(
      {length: CLIENTS},
      (_, index) => new Client(this.entries, index, this.#tenant.name),
    );
    await Promise.all(this.#clients.map(client => client.start()));
  }

  /** Sends requests of the tenant at a steady rate. */
  async send(perSecond, durationMs) {
    this.#note(`${perSecond} requests a second`);
    const startMs = performance.now();
    let count = 0;
    while (performance.now() - startMs < durationMs) {
      const dueCount = ((performance.now() - startMs) * perSecond) / 1_000;
      for (; count < dueCount; count++) {
        const number = this.calls.size + 1;
        const id = `request-${number}`;
        const call = {id, sentAtMs: performance.now()};
        this.calls.set(id, call);
        void this.#clients[number % CLIENTS].call(call);
      }
      await sleep(5);
    }
  }

  /** The entries in the order in which they are asked for the tenant: a hash of both names. */
  listInGrantingOrder() {
    const {name: tenant} = this.#tenant;
    const hashOf = ({name}) =>
      createHash('sha1').update(`${name} ${tenant}`).digest('hex');
    return [...this.entries].sort((left, right) =>
      hashOf(left) < hashOf(right) ? -1 : 1,
    );
  }

  /** The entry that grants requests of the tenant, as the logs say. */
  findGranting() {
    const entry = this.entries.find(({lines}) =>
      lines.some(
        line =>
          line.event === 'quota.granting' &&
          line.account === this.#tenant.name &&
          line.isGranting === true,
      ),
    );
    if (entry === undefined) {
      throw new Error('no entry grants');
    }
    return entry;
  }

  /** Waits for the last answers, writes down what was seen, and returns whether the rule was broken. */
  async judge() {
    await sleep(DEADLINE_MS);
    const note = this.#note;
    const runs = this.workers
      .flatMap(worker => worker.runs)
      .filter(({tenant}) => tenant === this.#tenant.name)
      .sort((left, right) => left.atMs - right.atMs);
    const counts = {};
    for (const {outcome = 'open'} of this.calls.values()) {
      counts[outcome] = (counts[outcome] ?? 0) + 1;
    }
    const sent = this.calls.size;
    note(`sent ${sent}, run ${runs.length}, ${JSON.stringify(counts)}`);
    const worst = this.#findWorst(runs);
    note(
      `most requests sent and run in ${WINDOW_MS} ms: ${worst.count}, from ${worst.fromMs.toFixed(0)}; ` +
        `allowed: ${this.#bound.toFixed(1)}`,
    );
    for (const {name, lines} of this.entries) {
      const reasons = {};
      for (const {event, reason} of lines) {
        if (event === 'request.refused') {
          reasons[reason] = (reasons[reason] ?? 0) + 1;
        }
      }
      note(`refused by ${name}: ${JSON.stringify(reasons)}`);
      for (const line of lines) {
        if (/^quota\.(granting|share)|^entry\.(down|up)/.test(line.event)) {
          note(`log of ${name}: ${JSON.stringify(line)}`);
        }
      }
    }
    const runAt = new Map(runs.map(({id, atMs}) => [id, atMs]));
    for (const {id, sentAtMs, outcome, entry} of this.calls.values()) {
      const run = runAt.get(id)?.toFixed(0) ?? '-';
      note(`${id} ${sentAtMs.toFixed(0)} to ${entry}: ${outcome}, run ${run}`);
    }
    return worst.count > this.#bound;
  }

  #findWorst(runs) {
    let worst = {count: 0, fromMs: 0};
    for (const {atMs: endMs} of runs) {
      const fromMs = endMs - WINDOW_MS;
      const {length: count} = runs.filter(
        ({id, atMs}) =>
          atMs <= endMs &&
          atMs > fromMs &&
          this.calls.get(id).sentAtMs > fromMs,
      );
      worst = count > worst.count ? {count, fromMs} : worst;
    }
    return worst;
  }
}

function toConfiguration({name, rate, burst}) {
  return {
    version: '00000001',
    routes: {
      book: {
        host: HOST,
        prefix: '/book/',
        kind: 'unsafe',
        timeout: `${DEADLINE_MS}ms`,
        target_latency: '1005ms',
        priority: 1,
        service: SERVICE,
        max_attempts: 2,
      },
    },
    services: {[SERVICE]: {health_path: '/health', max_connections: 1_000}},
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_048_576,
      header_timeout: '3s',
      idle_timeout: '15s',
    },
    tenants: {
      [name]: {
        api_keys: [toKey(name)],
        priority: 1,
        rate_per_s: rate,
        burst,
      },
    },
  };
}

function toKey(tenant) {
  return `key-of-${tenant}`;
}

/** A client: asks for entries, and sends each request to one that has not failed it, on a kept connection if one is free. */
class Client {
  #directories;
  #place;
  #key;
  #addresses = [];
  #failed = new Set();
  #agent = new Agent({keepAlive: true});

  constructor(entries, index, tenant) {
    this.#key = toKey(tenant);
    const first = index % entries.length;
    const nearest = entries[first];
    const others = entries.filter(entry => entry !== nearest);
    this.#directories = [nearest, ...others].slice(0, 3);
    this.#place = nearest.zone;
  }

  /** Asks for entries now, and again when the answer is too old. */
  async start() {
    await this.#refresh();
    setInterval(() => void this.#refresh(), LIST_AGE_MS);
  }

  async #refresh() {
    for (const {directory} of this.#directories) {
      try {
        const url = `http://127.0.0.1:${directory}/-/resolve?name=${HOST}&region=home&zone=${this.#place}`;
        const signal = AbortSignal.timeout(LIST_TIMEOUT_MS);
        const {addresses} = await (await fetch(url, {signal})).json();
        if (addresses !== undefined) {
          this.#addresses = addresses;
          this.#failed.clear();
          return;
        }
      } catch {
        // The next one is asked; the older list is kept meanwhile.
      }
    }
  }

  call(call) {
    const usable = this.#addresses.filter(other => !this.#failed.has(other));
    const all = usable.length > 0 ? usable : this.#addresses;
    const address = all[Math.floor(Math.random() * all.length)];
    const [host, port] = address.split(':');
    call.entry = address;
    const body = 'two bags';
    return new Promise(resolve => {
      const request = send({
        host,
        port,
        method: 'POST',
        path: '/book/collection',
        agent: this.#agent,
        headers: {
          host: HOST,
          'wasabidyke-attempt-id': call.id,
          'wasabidyke-request-deadline-ms': String(DEADLINE_MS),
          'wasabidyke-key': this.#key,
          'content-length': body.length,
        },
      });
      const end = outcome => {
        clearTimeout(timer);
        call.outcome ??= outcome;
        resolve();
      };
      const fail = outcome => {
        this.#failed.add(address);
        end(outcome);
      };
      const timer = setTimeout(() => {
        fail('no answer by the deadline');
        request.destroy();
      }, DEADLINE_MS);
      request.on('error', error => fail(String(error.code)));
      request.on('response', response => {
        response.resume();
        response.on('end', () => end(`status ${response.statusCode}`));
        response.on('error', error => fail(String(error.code)));
      });
      request.end(body);
    });
  }
}
