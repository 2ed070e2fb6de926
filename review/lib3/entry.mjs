/** Entries of the deployment as processes of their own, with the command and the settings template of the deploy file. */

import {spawn} from 'node:child_process';
import {openSync, readFileSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {get} from 'node:http';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';

const DEPLOY_FILE = 'deploy/system.toml';
const PORTS = 5;
const INTERRUPTED_STATUS = 2;

/** Bounds of the site `bmct-gateway`. */
export const BOUNDS = {
  grace: '6s',
  retry_budget_ratio: 0.2,
  budget_slack: 56,
  budget_window: '10s',
  probes_per_s: 60,
};

const ZONES = {
  'kgn-a': 'kingston',
  'kgn-b': 'kingston',
  'mbj-a': 'montego',
  'mbj-b': 'montego',
  'mdv-a': 'mandeville',
  'mdv-b': 'mandeville',
};

/** The zones of the site. */
export const ZONE_NAMES = Object.keys(ZONES);

/** Reads a text value of the role in the deploy file. */
function readRole(name) {
  const text = readFileSync(DEPLOY_FILE, 'utf8');
  return new RegExp(`^${name} = "(.*)"$`, 'm').exec(text)[1];
}

/** Fills in a template as the platform's page describes it, as far as this one uses it. */
function render(template, fields) {
  const find = path =>
    path.split('.').reduce((value, name) => value?.[name], fields);
  return template
    .replace(
      /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g,
      (_match, path, section) => (find(path) ? section : ''),
    )
    .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_match, path, json) => {
      const value = find(path);
      return json ? JSON.stringify(value) : String(value ?? '');
    });
}

/** Ports below those that the system gives to connections. */
const FIRST_PORT = 12_000;
const LAST_PORT = 30_000;

/** Returns free ports. */
export async function findPorts(count) {
  const ports = new Set();
  while (ports.size < count) {
    const port =
      FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    if (await isFree(port)) {
      ports.add(port);
    }
  }
  return [...ports];
}

async function isFree(port) {
  const server = createServer().listen(port, '127.0.0.1');
  const isListening = await new Promise(resolve => {
    server.once('listening', () => resolve(true));
    server.once('error', () => resolve(false));
  });
  server.close();
  return isListening;
}

/** Processes that may not outlive this one. */
const children = new Set();
process.once('exit', () => children.forEach(child => child.kill('SIGKILL')));
for (const signal of ['SIGINT', 'SIGTERM']) {
  process.once(signal, () => process.exit(INTERRUPTED_STATUS));
}

/** One entry. */
export class Entry {
  #child;
  #ports;
  #options;

  /** @param options `name`, `zone`, `store` (its address), `directory`, and `bounds`, which replace some of `BOUNDS`. */
  constructor(options) {
    this.#options = options;
  }

  get port() {
    return this.#ports[0];
  }

  get zone() {
    return this.#options.zone;
  }

  /** Starts the process and waits until it is ready. */
  async start() {
    const {name, zone, store, directory, bounds} = this.#options;
    this.#ports = await findPorts(PORTS);
    const [front, list, readiness, ...internal] = this.#ports;
    const template = readFileSync(readRole('template'), 'utf8');
    const file = join(directory, `${name}.settings`);
    const settings = render(template, {
      node: name,
      region: ZONES[zone],
      zone,
      zones: ZONES,
      ip: '127.0.0.1',
      internal_ports: internal,
      listen: {
        front: `127.0.0.1:${front}`,
        directory: `127.0.0.1:${list}`,
        readiness: `127.0.0.1:${readiness}`,
      },
      platform: {address: store},
      bounds: {...BOUNDS, ...bounds},
    });
    writeFileSync(file, settings);
    const [program, ...parameters] = readRole('run').split(' ');
    const log = openSync(join(directory, `${name}.log`), 'a');
    this.#child = spawn(program, parameters, {
      stdio: ['ignore', log, log],
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        WASABIDYKE_SETTINGS: file,
      },
    });
    children.add(this.#child);
    for (let tries = 0; tries < 100; tries++) {
      if ((await this.#readReadiness(readiness)) === 200) {
        return;
      }
      await sleep(100);
    }
    throw new Error(`${name} is not ready`);
  }

  signal(signal) {
    this.#child.kill(signal);
  }

  #readReadiness(port) {
    return new Promise(resolve => {
      const options = {port, path: '/-/ready', agent: false, timeout: 1_000};
      get(options, response => {
        response.resume();
        resolve(response.statusCode);
      }).once('error', () => resolve(0));
    });
  }
}
