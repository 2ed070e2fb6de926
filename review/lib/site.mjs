/** A small deployment: entries as processes of the deploy file, a store and workers as stand-ins. */

import {spawn} from 'node:child_process';
import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {
  createWriteStream,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Store} from './store.mjs';
import {Worker} from './worker.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** Host of all routes. */
export const HOST = 'shop.example';

const ZONES = {'home-a': 'home', 'home-b': 'home'};
const READY_MS = 15_000;

/** Ports of the entries. */
const FIRST_PORT = 12_000;
const LAST_PORT = 31_000;

/** Time after which a site has settled: entries follow each other and know all workers, in milliseconds. */
const SETTLE_MS = 4_000;

const ROUTE = {
  host: HOST,
  timeout: '20s',
  target_latency: '300ms',
  priority: 1,
  max_attempts: 2,
};

/** A configuration, as the operator writes it. @param routes Fields of each route by its name. */
export function configuration(version, routes, limits = {}) {
  const service = {health_path: '/health', max_connections: 220};
  const complete = Object.entries(routes).map(([name, route]) => [
    name,
    {...ROUTE, prefix: `/${name}/`, ...route},
  ]);
  return {
    version: version.toString(16).padStart(8, '0'),
    routes: Object.fromEntries(complete),
    services: {first: service, second: service},
    limits: {
      max_header_bytes: 8_192,
      max_body_bytes: 1_000_000,
      header_timeout: '5s',
      idle_timeout: '15s',
      ...limits,
    },
  };
}

/** A deployment that ends all that it started. */
export class Site {
  entries = [];
  workers = [];
  store = new Store();
  #directory = mkdtempSync(join(tmpdir(), 'wasabidyke-review-'));
  #grace;
  #storeAddress;

  /** @param grace Time from SIGTERM to SIGKILL, as in the settings. */
  constructor({grace = '6s'} = {}) {
    this.#grace = grace;
    process.once('exit', () => this.#kill());
    for (const signal of ['SIGINT', 'SIGTERM']) {
      process.once(signal, () => process.exit(2));
    }
  }

  async start({entries, workers, routes, limits}) {
    this.#storeAddress = await this.store.listen();
    this.store.set('op/config', configuration(1, routes, limits));
    for (const options of workers) {
      await this.addWorker(options);
    }
    for (let index = 0; index < entries; index++) {
      this.entries.push(await this.#startEntry(index));
    }
    const untilMs = Date.now() + READY_MS;
    for (const [index, entry] of this.entries.entries()) {
      while (!(await isReady(this.entries[index]))) {
        if (this.entries[index].child.exitCode !== null) {
          // Another process has taken one of its ports meanwhile.
          this.entries[index] = await this.#startEntry(index);
        }
        if (Date.now() > untilMs) {
          throw new Error(`${entry.name} isn't ready`);
        }
        await sleep(50);
      }
    }
    await sleep(SETTLE_MS);
  }

  /** Starts a worker, which announces itself. */
  async addWorker(options) {
    const worker = new Worker(options);
    await worker.listen();
    this.workers.push(worker);
    this.store.set(`servers/${worker.id}`, worker.toRecord());
    return worker;
  }

  /** All requests that reached workers. */
  get arrivals() {
    return this.workers.flatMap(({arrivals}) => arrivals);
  }

  /** Ends all processes and stand-ins, and removes the temporary folder. */
  end() {
    this.#kill();
    this.workers.forEach(worker => worker.close());
    this.store.close();
    rmSync(this.#directory, {recursive: true, force: true});
  }

  #kill() {
    for (const {child} of this.entries) {
      if (child.exitCode === null && child.signalCode === null) {
        child.kill('SIGCONT');
        child.kill('SIGKILL');
      }
    }
  }

  async #startEntry(index) {
    const zone = Object.keys(ZONES)[index % 2];
    const ports = await findFreePorts(5);
    const [front, readiness, directory, ...internal] = ports;
    const name = `front-${zone}-${index + 1}`;
    const fields = {
      node: name,
      ip: '127.0.0.1',
      zone,
      region: ZONES[zone],
      zones: ZONES,
      internal_ports: internal,
      listen: {
        front: `127.0.0.1:${front}`,
        readiness: `127.0.0.1:${readiness}`,
        directory: `127.0.0.1:${directory}`,
      },
      platform: {address: this.#storeAddress},
      bounds: {
        grace: this.#grace,
        retry_budget_ratio: 0.2,
        budget_slack: 56,
        budget_window: '10s',
        probes_per_s: 60,
      },
    };
    const file = join(this.#directory, `${name}.settings`);
    writeFileSync(file, fillIn(readDeploy('entry.settings.jsonc'), fields));
    const log = openSync(join(this.#directory, `${name}.log`), 'a');
    const [, run] = /^run = "(.*)"$/m.exec(readDeploy('system.toml'));
    const [command, ...words] = run.split(' ');
    const child = spawn(command, words, {
      cwd: ROOT,
      stdio: ['ignore', log, log],
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        WASABIDYKE_SETTINGS: file,
      },
    });
    const entry = {name, zone, child, front, readiness, directory};
    entry.exited = once(child, 'exit');
    return entry;
  }
}

/** Writes what happened to `record.txt` beside a script, and prints it. */
export class Recorder {
  #file;
  #startMs = Date.now();

  /** @param url Of the script. */
  constructor(url) {
    const path = fileURLToPath(new URL('record.txt', url));
    this.#file = createWriteStream(path);
  }

  write(text) {
    const seconds = (Date.now() - this.#startMs) / 1_000;
    const line = `${seconds.toFixed(3).padStart(7)} ${text}`;
    this.#file.write(`${line}\n`);
    console.log(line);
  }

  close() {
    return new Promise(resolve => this.#file.end(resolve));
  }
}

/** Whether the script makes the disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Runs a case and exits with 1 if it returns that the rule was broken, 0 if it held, and 2 if it fails. */
export async function runCase(url, site, play) {
  const recorder = new Recorder(url);
  const limit = setTimeout(() => {
    recorder.write('the case took too long');
    process.exit(2);
  }, 110_000);
  let status = 2;
  try {
    recorder.write(HAS_TROUBLE ? 'with the disruption' : 'without it');
    const isBroken = await play(recorder);
    recorder.write(isBroken ? 'the rule was broken' : 'the rule held');
    status = isBroken ? 1 : 0;
  } catch (error) {
    recorder.write(`the case could not run: ${error.stack}`);
  }
  clearTimeout(limit);
  site.end();
  await recorder.close();
  process.exit(status);
}

function readDeploy(name) {
  return readFileSync(join(ROOT, 'deploy', name), 'utf8');
}

function fillIn(template, fields) {
  const sections = /\{\{#([\w.]+)\}\}([^]*?)\{\{\/\1\}\}/g;
  const chosen = template.replace(sections, (_, path, section) =>
    path.split('.').reduce((known, key) => known?.[key], fields) === undefined
      ? ''
      : section,
  );
  return chosen.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, isJson) => {
    const value = path.split('.').reduce((known, key) => known?.[key], fields);
    return isJson ? JSON.stringify(value) : String(value ?? '');
  });
}

async function isReady({readiness}) {
  try {
    const answer = await fetch(`http://127.0.0.1:${readiness}/-/ready`);
    return answer.status === 200;
  } catch {
    // It doesn't listen yet.
    return false;
  }
}

/** Finds ports below those that the kernel gives to outgoing connections. */
async function findFreePorts(count) {
  const ports = new Set();
  while (ports.size < count) {
    const port = randomInt(FIRST_PORT, LAST_PORT);
    const server = createServer().listen(port, '127.0.0.1');
    try {
      await once(server, 'listening');
      ports.add(port);
    } catch {
      // Another process has it.
      continue;
    }
    await new Promise(resolve => server.close(resolve));
  }
  return [...ports];
}
