/** Stand-ins of the platform for the cases 11 to 14: its store, its workers, and the start of entries. Needs Node.js alone. */

import {spawn} from 'node:child_process';
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer, request as httpRequest} from 'node:http';
import {createServer as createNetServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** Bounds of `sites/bmct-gateway.toml`. */
export const BOUNDS = {
  grace: '6s',
  retry_budget_ratio: 0.2,
  budget_slack: 56,
  budget_window: '10s',
  probes_per_s: 60,
};

export const now = () => performance.now();

/** Writes lines with times to the record of a case. */
export class Record {
  #file;
  #startedAtMs = now();

  constructor(folder) {
    this.#file = join(folder, 'record.txt');
    writeFileSync(this.#file, '');
  }

  write(text) {
    const seconds = ((now() - this.#startedAtMs) / 1_000).toFixed(3);
    appendFileSync(this.#file, `${seconds} ${text}\n`);
  }
}

/** Ports below those that the system gives to connections by itself. */
const LOWEST_PORT = 12_000;
const HIGHEST_PORT = 30_000;
const takenPorts = new Set();

function isFree(port) {
  return new Promise(resolve => {
    const server = createNetServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/** Returns ports that are free now. */
export async function freePorts(count) {
  const ports = [];
  while (ports.length < count) {
    const span = HIGHEST_PORT - LOWEST_PORT;
    const port = LOWEST_PORT + Math.floor(Math.random() * span);
    if (!takenPorts.has(port) && (await isFree(port))) {
      takenPorts.add(port);
      ports.push(port);
    }
  }
  return ports;
}

async function readAll(stream) {
  const chunks = [];
  for await (const chunk of stream) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

function toMs(text) {
  return Number.parseFloat(text) * (text.endsWith('ms') ? 1 : 1_000);
}

/** The platform's store, as PROTOCOL.md describes it. */
export class Store {
  /** `none`, `busy` (503), `silent`, `late` (done after `lateMs`, and not answered), or a function of the method, the URL and the body that returns one of these. */
  fault = 'none';
  lateMs = 3_000;
  era;
  #items = new Map();
  #leases = new Map();
  #events = [];
  #revision = 1;
  #lastLease = 0;
  #waiting = new Set();
  #server = createServer((request, response) => {
    this.#serve(request, response).catch(() => response.destroy());
  });
  #timer = setInterval(() => this.#endLeases(), 100);

  async listen() {
    await new Promise(resolve => this.#server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  close() {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes an item, as operators and workers do; deletes it if the value is undefined. */
  set(key, value) {
    if (value === undefined) {
      this.#delete(key);
    } else {
      const text = typeof value === 'string' ? value : JSON.stringify(value);
      this.#put(key, Buffer.from(text).toString('base64'), 0);
    }
    this.#wake();
  }

  keys(prefix) {
    return [...this.#items.keys()].filter(key => key.startsWith(prefix));
  }

  #put(key, value, lease) {
    this.#revision += 1;
    const created = this.#items.get(key)?.created_rev ?? this.#revision;
    const item = {
      key,
      value,
      revision: this.#revision,
      created_rev: created,
      lease,
    };
    this.#items.set(key, item);
    this.#events.push(item);
  }

  #delete(key) {
    if (this.#items.delete(key)) {
      this.#revision += 1;
      this.#events.push({key, revision: this.#revision, tombstone: true});
    }
  }

  #wake() {
    [...this.#waiting].forEach(wake => wake());
  }

  #endLeases() {
    for (const [id, {endsAtMs}] of this.#leases) {
      if (endsAtMs <= now()) {
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
    this.#wake();
  }

  async #serve(request, response) {
    const body = await readAll(request);
    const url = new URL(request.url, 'http://store');
    const fault =
      typeof this.fault === 'function'
        ? this.fault(request.method, url, body)
        : this.fault;
    if (fault === 'silent') {
      return;
    }
    if (fault === 'late') {
      setTimeout(() => this.#answer(request.method, url, body), this.lateMs);
      return;
    }
    if (fault === 'busy') {
      this.#send(response, 503, {});
      return;
    }
    if (url.pathname === '/-/kv-watch') {
      await this.#watch(url, response);
      return;
    }
    const [status, answer] = this.#answer(request.method, url, body);
    this.#send(response, status, answer);
  }

  #send(response, status, body) {
    const era = this.era === undefined ? {} : {'store-era': String(this.era)};
    response.writeHead(status, {'content-type': 'application/json', ...era});
    response.end(JSON.stringify(body));
  }

  #answer(method, {pathname, searchParams}, body) {
    const current_rev = this.#revision;
    if (pathname === '/-/kv-range') {
      const prefix = searchParams.get('prefix') ?? '';
      const after = searchParams.get('after') ?? '';
      const items = [...this.#items.values()]
        .filter(({key}) => key.startsWith(prefix) && key > after)
        .sort((left, right) => (left.key < right.key ? -1 : 1));
      return [200, {items, has_more: false, current_rev}];
    }
    if (pathname === '/-/kv-lease') {
      const {ttl_time} = JSON.parse(body);
      this.#lastLease += 1;
      const ttlMs = toMs(ttl_time);
      this.#leases.set(this.#lastLease, {ttlMs, endsAtMs: now() + ttlMs});
      return [200, {lease: this.#lastLease, ttl_time}];
    }
    if (pathname === '/-/kv-txn') {
      return this.#write(JSON.parse(body));
    }
    const id = Number(pathname.split('/').at(-1));
    const lease = this.#leases.get(id);
    if (lease === undefined) {
      return [404, {}];
    }
    if (method === 'DELETE') {
      this.#endLease(id);
    } else {
      lease.endsAtMs = now() + lease.ttlMs;
    }
    return [200, {ttl_time: `${lease.ttlMs}ms`}];
  }

  #write({expect = [], writes = [], deletes = []}) {
    const isMet = expect.every(
      ({key, revision}) => (this.#items.get(key)?.revision ?? 0) === revision,
    );
    if (!isMet) {
      return [412, {items: []}];
    }
    if (writes.some(({lease}) => lease > 0 && !this.#leases.has(lease))) {
      return [404, {}];
    }
    writes.forEach(({key, value, lease = 0}) => this.#put(key, value, lease));
    deletes.forEach(key => this.#delete(key));
    this.#wake();
    return [200, {revision: this.#revision}];
  }

  async #watch({searchParams}, response) {
    const after = Number(searchParams.get('after'));
    const list = () => this.#events.filter(({revision}) => revision > after);
    if (list().length === 0) {
      await new Promise(resolve => {
        const end = () => {
          clearTimeout(timer);
          this.#waiting.delete(end);
          resolve();
        };
        const timer = setTimeout(end, Number(searchParams.get('wait_ms')));
        this.#waiting.add(end);
        response.once('close', end);
      });
    }
    this.#send(response, 200, {events: list(), current_rev: this.#revision});
  }
}

/** A worker. `answer` gets the request, its body and the response once a request runs. */
export class Worker {
  runs = [];
  #server;
  #running = 0;

  constructor(store, {id, service, zone, slots = 4, answer}) {
    Object.assign(this, {store, id, service, zone, slots, answer});
    this.born = Date.now();
    this.#server = createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 10_000;
  }

  async start() {
    await new Promise(resolve => this.#server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.#server.address().port}`;
    this.seq = 1;
    this.announce();
  }

  announce(state = 'ready') {
    const {address, service, zone, slots, born, seq} = this;
    this.store.set(`servers/${this.id}`, {
      address,
      born,
      info: {service, version: 'v1', zone, slots},
      status: {state, seq, warmup_left: '0ms'},
    });
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  get load() {
    return `${Math.min(this.#running, this.slots)},${Math.max(0, this.#running - this.slots)},${this.slots},100`;
  }

  async #serve(request, response) {
    const arrivedAtMs = now();
    if (request.url === '/health') {
      response.writeHead(200, {
        'wasabidyke-instance-id': this.id,
        'wasabidyke-server-load': this.load,
      });
      response.end();
      return;
    }
    const body = await readAll(request);
    const id = request.headers['wasabidyke-attempt-id'];
    const expected = request.headers['wasabidyke-expected-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, {'wasabidyke-instance-id': this.id});
      response.end();
      return;
    }
    const run = {
      id,
      worker: this.id,
      service: this.service,
      method: request.method,
      path: request.url,
      arrivedAtMs,
      headers: request.headers,
    };
    this.runs.push(run);
    this.#running += 1;
    try {
      await this.answer({request, response, body, run, worker: this});
    } finally {
      this.#running -= 1;
      run.endedAtMs = now();
    }
  }

  /** Headers of an answer to a request. */
  headersFor(id) {
    return {
      'wasabidyke-attempt-id': id,
      'wasabidyke-server-seal': `seal.${this.id}.${id}`,
      'wasabidyke-server-load': this.load,
    };
  }
}

/** Fills in a template of settings, as DEPLOY.md describes it. */
export function render(template, fields) {
  const find = path =>
    path === '.'
      ? fields
      : path.split('.').reduce((value, name) => value?.[name], fields);
  return template
    .replace(
      /\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g,
      (_, kind, path, inner) =>
        Boolean(find(path)) === (kind === '#') ? inner : '',
    )
    .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => {
      const value = find(path);
      const isJson = json !== undefined || typeof value === 'object';
      return isJson ? JSON.stringify(value) : String(value ?? '');
    });
}

/** An entry as a process, started with the command of the deploy file. */
export class Entry {
  #folder = mkdtempSync(join(tmpdir(), 'case-'));
  #process;
  log = [];
  exits = [];

  constructor({name, region, zone, zones, store, bounds = BOUNDS}) {
    Object.assign(this, {name, region, zone, zones, store, bounds});
  }

  /** Takes its ports. */
  async prepare() {
    const ports = await freePorts(5);
    [this.port, this.directoryPort, this.readinessPort, ...this.internal] =
      ports;
    const template = readFileSync(
      join(ROOT, 'deploy/entry.settings.jsonc'),
      'utf8',
    );
    this.file = join(this.#folder, 'local.jsonc');
    writeFileSync(
      this.file,
      render(template, {
        node: this.name,
        region: this.region,
        zone: this.zone,
        zones: this.zones,
        ip: '127.0.0.1',
        internal_ports: this.internal,
        listen: {
          front: `127.0.0.1:${this.port}`,
          directory: `127.0.0.1:${this.directoryPort}`,
          readiness: `127.0.0.1:${this.readinessPort}`,
        },
        platform: {address: this.store.address},
        bounds: this.bounds,
      }),
    );
  }

  start() {
    const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
    const [program, ...rest] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
    const {PATH, HOME} = process.env;
    const child = spawn(program, rest, {
      cwd: ROOT,
      env: {PATH, HOME, WASABIDYKE_SETTINGS: this.file},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.#process = child;
    let text = '';
    const take = chunk => {
      text += chunk;
      const lines = text.split('\n');
      text = lines.pop();
      this.log.push(...lines);
    };
    child.stdout.on('data', take);
    child.stderr.on('data', take);
    this.ended = new Promise(resolve => {
      child.once('exit', (code, signal) => {
        this.exits.push({code, signal, atMs: now()});
        resolve();
      });
    });
  }

  kill(signal) {
    this.#process.kill(signal);
  }

  get isRunning() {
    return this.#process.exitCode === null && this.#process.signalCode === null;
  }

  /** Memory that the process has in use, in megabytes; 0 once it has ended. */
  get residentMb() {
    try {
      const status = readFileSync(`/proc/${this.#process.pid}/status`, 'utf8');
      return Number(/^VmRSS:\s+(\d+) kB/m.exec(status)?.[1] ?? 0) / 1_024;
    } catch {
      return 0;
    }
  }

  async isReady() {
    const answer = await ask(this.readinessPort, '/-/ready');
    return answer?.status === 200;
  }

  async waitUntilReady() {
    for (let tries = 0; tries < 150; tries += 1) {
      if (await this.isReady()) {
        return;
      }
      await sleep(100);
    }
    throw new Error(
      `${this.name} is not ready: ${this.log.slice(-3).join(' | ')}`,
    );
  }

  async end() {
    if (this.#process !== undefined && this.isRunning) {
      this.kill('SIGCONT');
      this.kill('SIGKILL');
      await this.ended;
    }
    rmSync(this.#folder, {recursive: true, force: true});
  }
}

/** Calls a path with GET; undefined without an answer within a second. */
export function ask(port, path) {
  return new Promise(resolve => {
    const call = httpRequest(
      {host: '127.0.0.1', port, path, agent: false, timeout: 1_000},
      async response => {
        const body = await readAll(response).catch(() => undefined);
        resolve({status: response.statusCode, body: String(body)});
      },
    );
    call.on('timeout', () => call.destroy());
    call.on('error', () => resolve(undefined));
    call.end();
  });
}

/** A configuration; `routes` and `services` as in PROTOCOL.md. */
export function toConfiguration({version, routes, services, tenants}) {
  return {
    version: version.toString(16).padStart(8, '0'),
    routes,
    services: Object.fromEntries(
      services.map(name => [
        name,
        {
          health_path: '/health',
          max_connections: 220,
          protocol: 'h1',
          tls: false,
        },
      ]),
    ),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 67_108_864,
      header_timeout: '3000ms',
      idle_timeout: '15000ms',
    },
    ...(tenants === undefined ? {} : {tenants}),
  };
}

let lastId = 0;

/** A new id of a client attempt. */
export function nextId() {
  lastId += 1;
  return lastId.toString(16).padStart(16, '0');
}

/** Runs a case; ends with 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. */
export async function runCase(folder, play) {
  const record = new Record(folder);
  const ends = [];
  let status = 2;
  const limit = setTimeout(() => {
    record.write('result: the case took too long');
    void finish();
  }, 112_000);
  let isFinished = false;
  async function finish() {
    if (!isFinished) {
      isFinished = true;
      clearTimeout(limit);
      await Promise.allSettled(ends.reverse().map(end => end()));
      process.exit(status);
    }
  }
  try {
    const isTroubled = process.env.TROUBLE !== '0';
    const broken = await play({
      record,
      isTroubled,
      onEnd: end => ends.push(end),
    });
    broken.forEach(text => record.write(`broken: ${text}`));
    record.write(`result: ${broken.length} breaks`);
    status = broken.length > 0 ? 1 : 0;
    process.stdout.write(
      `${broken.length} breaks\n${broken.slice(0, 5).join('\n')}\n`,
    );
  } catch (error) {
    record.write(`result: could not run: ${error.stack}`);
    process.stdout.write(`could not run: ${error.stack}\n`);
  }
  await finish();
}
