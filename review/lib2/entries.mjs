/** Starts entries as the deploy file does, each as a process of its own. */

import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {existsSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {mkdtemp} from 'node:fs/promises';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

export const ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** Exit status of a case that could not run. */
export const COULD_NOT_RUN = 2;

const READY_WITHIN_MS = 20_000;
const PORTS_PER_ENTRY = 5;

/** Time from SIGTERM to SIGKILL, and from the end of a process to its next start. */
const GRACE_MS = 6_000;
const RESTART_MS = 300;

const living = new Set();

/** Ends all processes that this one started. */
export function endAll() {
  for (const child of living) {
    child.kill('SIGCONT');
    child.kill('SIGKILL');
  }
}

/** The command of the role `entry` in the deploy file. */
function readCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, run] = /\[roles\.entry\][^[]*?\nrun = "([^"]+)"/.exec(text);
  const words = run.split(' ');
  if (!existsSync(join(ROOT, words.at(-1)))) {
    throw new Error(`${words.at(-1)} is missing: run the build first`);
  }
  return words;
}

/** Ports below those that the system gives to connections. */
const LOWEST_PORT = 12_000;
const HIGHEST_PORT = 31_999;

/** Finds free ports that no connection is given meanwhile. */
async function findFreePorts(count) {
  const ports = new Set();
  const span = HIGHEST_PORT - LOWEST_PORT;
  while (ports.size < count) {
    const port = LOWEST_PORT + Math.floor(Math.random() * span);
    const server = createServer();
    const isFree = await new Promise(resolve => {
      server.once('error', () => resolve(false));
      server.listen(port, '127.0.0.1', () => resolve(true));
    });
    if (isFree) {
      server.close();
      await once(server, 'close');
      ports.add(port);
    }
  }
  return [...ports];
}

/** One entry. */
export class Entry {
  /** Lines that it has written, parsed. */
  lines = [];
  #command;
  #settingsFile;
  #child;

  constructor(name, zone, ports, command, settingsFile) {
    this.name = name;
    this.zone = zone;
    const [callers, directory, readiness, metrics, feed] = ports;
    Object.assign(this, {callers, directory, readiness, metrics, feed});
    this.#command = command;
    this.#settingsFile = settingsFile;
  }

  get pid() {
    return this.#child.pid;
  }

  /** Whether its process has ended. */
  get hasEnded() {
    return this.#child.exitCode !== null || this.#child.signalCode !== null;
  }

  /** Starts its process, also once more after the last one has ended. */
  start() {
    const [program, ...words] = this.#command;
    const child = spawn(program, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        WASABIDYKE_SETTINGS: this.#settingsFile,
      },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.#child = child;
    living.add(child);
    child.once('exit', () => living.delete(child));
    let rest = '';
    child.stdout.setEncoding('utf8').on('data', text => {
      const lines = (rest + text).split('\n');
      rest = lines.pop();
      this.lines.push(...lines.map(parseLine));
    });
  }

  signal(name) {
    this.#child.kill(name);
  }

  /** Stops it as planned, and starts it again, as the platform does. */
  async restart() {
    this.signal('SIGTERM');
    const child = this.#child;
    const timer = setTimeout(() => child.kill('SIGKILL'), GRACE_MS);
    await this.ended();
    clearTimeout(timer);
    await sleep(RESTART_MS);
    this.start();
  }

  /** Resolves when its process has ended. */
  async ended() {
    if (!this.hasEnded) {
      await once(this.#child, 'exit');
    }
  }

  async isReady() {
    try {
      const url = `http://127.0.0.1:${this.readiness}/-/ready`;
      const answer = await fetch(url, {signal: AbortSignal.timeout(1_000)});
      return answer.status === 200;
    } catch {
      return false;
    }
  }
}

function parseLine(line) {
  try {
    return JSON.parse(line);
  } catch {
    return {text: line};
  }
}

/** Bounds of a small deployment. */
const BOUNDS = {
  stopWithin: '6s',
  repeats: {ratio: 0.2, slack: 56, window: '10s'},
  loadQueriesPerSecond: 60,
  transferCosts: {crossZonePerMegabyte: 14, crossRegionPerMegabyte: 60},
  entryListAge: '2s',
};

/**
 * Starts entries and waits until all of them are ready.
 * @param zones The zone of each entry.
 * @param regionByZone The region of each zone.
 * @param more Further settings, as the template adds them.
 * @param onPorts Called with the entries before they start.
 */
export async function startEntries({
  storeAddress,
  zones,
  regionByZone,
  more = {},
  onPorts = () => {},
}) {
  const command = readCommand();
  const directory = await mkdtemp(join(tmpdir(), 'review-'));
  process.once('exit', () => {
    endAll();
    rmSync(directory, {recursive: true, force: true});
  });
  const ports = await findFreePorts(zones.length * PORTS_PER_ENTRY);
  const entries = zones.map((zone, index) => {
    const name = `front-${zone}-${index + 1}`;
    const own = ports.slice(index * PORTS_PER_ENTRY).slice(0, PORTS_PER_ENTRY);
    const [callers, list, readiness, metrics, feed] = own.map(
      port => `127.0.0.1:${port}`,
    );
    const settings = {
      name,
      region: regionByZone[zone],
      zone,
      regionByZone,
      listen: {callers, entries: list, readiness, metrics, feed},
      store: {address: storeAddress},
      ...BOUNDS,
      ...more,
    };
    const file = join(directory, `${name}.jsonc`);
    writeFileSync(file, JSON.stringify(settings));
    return new Entry(name, zone, own, command, file);
  });
  await onPorts(entries);
  entries.forEach(entry => entry.start());
  await waitUntilReady(entries);
  return entries;
}

/** Waits until entries are ready. */
export async function waitUntilReady(entries) {
  const untilMs = performance.now() + READY_WITHIN_MS;
  for (const entry of entries) {
    while (!(await entry.isReady())) {
      if (performance.now() > untilMs) {
        throw new Error(`${entry.name} is not ready`);
      }
      await sleep(50);
    }
  }
}
