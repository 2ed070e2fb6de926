/** One entry: a real process, started, signalled and ended by its own identity, behind loopback links. */

import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {closeSync, openSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {Link} from '@wasabidyke/stand-ins';
import {nowMs, type History} from './history.js';

/** Time from the signal to stop until the entry is killed, in milliseconds. Source: `grace` of the platform's sites. */
export const STOP_WITHIN_MS = 6_000;

/** Time after which the platform starts a process again that ended, in milliseconds. */
const RESTART_MS = 300;

/** Entries that live; none may outlive the soak. */
const living = new Set<ChildProcess>();
process.once('exit', () => {
  for (const child of living) {
    child.kill('SIGKILL');
  }
});

/** Where an entry is and what it talks to. */
export interface EntryOptions {
  readonly name: string;
  readonly zone: string;
  readonly regionByZone: Readonly<Record<string, string>>;
  /** Five ports: callers, entries, readiness, metrics, feed. */
  readonly ports: readonly number[];
  readonly storeAddress: string;
  /** The program of its first process. */
  readonly program: string;
  readonly directory: string;
  readonly history: History;
}

/** One entry. */
export class EntryProcess {
  readonly name: string;
  readonly zone: string;
  readonly callers: Link;
  readonly store: Link;
  readonly #options: EntryOptions;
  readonly #settingsFile: string;
  #child: ChildProcess | undefined;
  #isEnded = false;
  #isSignalled = false;
  /** The program of its next process. */
  program: string;
  /** Pauses that are not over. */
  #pauses = 0;

  constructor(options: EntryOptions) {
    const {name, zone, storeAddress, directory} = options;
    this.name = name;
    this.zone = zone;
    this.#options = options;
    this.program = options.program;
    this.#settingsFile = join(directory, `${name}.json`);
    const listen = '127.0.0.1:0';
    const open = {listen, mode: 'open', delayMs: 0} as const;
    this.callers = new Link({
      ...open,
      name: `${name}-callers`,
      target: this.address,
    });
    this.store = new Link({
      ...open,
      name: `${name}-store`,
      target: storeAddress,
    });
  }

  /** Where the entry itself takes callers. */
  get address(): string {
    return `127.0.0.1:${this.#options.ports[0]}`;
  }

  /** Identity of its process; undefined before the first one. */
  get pid(): number | undefined {
    return this.#child?.pid;
  }

  /** Whether a process of it runs now. */
  get isRunning(): boolean {
    const child = this.#child;
    return child?.exitCode === null && child.signalCode === null;
  }

  /** Where it names entries. */
  get listPort(): number {
    return this.#options.ports[1];
  }

  get metricsPort(): number {
    return this.#options.ports[3];
  }

  get readinessPort(): number {
    return this.#options.ports[2];
  }

  /** Starts it, and starts it again each time it ends, until `end`. */
  async run(): Promise<void> {
    const storeAddress = await this.store.listen();
    writeFileSync(this.#settingsFile, this.#toSettings(storeAddress));
    while (!this.#isEnded) {
      await this.#live();
      await new Promise(resolve => setTimeout(resolve, RESTART_MS));
    }
  }

  signal(signal: NodeJS.Signals): void {
    this.#isSignalled ||= signal === 'SIGTERM' || signal === 'SIGKILL';
    this.#child?.kill(signal);
  }

  /** Has it stand still for a time, unless it is killed before; pauses may overlap. */
  async pause(forMs: number): Promise<void> {
    const child = this.#child;
    if (child === undefined || child.exitCode !== null || child.signalCode) {
      // It has ended; the process that is started next isn't paused.
      return;
    }
    const absence = {entry: this.address, fromMs: nowMs(), toMs: Infinity};
    this.#options.history.absences.push(absence);
    this.#pauses += 1;
    this.signal('SIGSTOP');
    const isOver = new Promise<void>(resolve => setTimeout(resolve, forMs));
    await Promise.race([isOver, once(child, 'exit')]);
    absence.toMs = nowMs();
    await isOver;
    this.#pauses -= 1;
    if (this.#pauses === 0) {
      this.signal('SIGCONT');
    }
  }

  /** Stops it as planned, and kills it when its time is over. */
  async stop(): Promise<void> {
    const child = this.#child;
    this.signal('SIGTERM');
    const timer = setTimeout(() => child?.kill('SIGKILL'), STOP_WITHIN_MS);
    const isRunning = child?.exitCode === null && child.signalCode === null;
    if (child !== undefined && isRunning) {
      await once(child, 'exit');
    }
    clearTimeout(timer);
  }

  /** Ends it for good. */
  end(): void {
    this.#isEnded = true;
    this.signal('SIGCONT');
    this.signal('SIGKILL');
  }

  async #live(): Promise<void> {
    const {directory, history} = this.#options;
    const log = openSync(join(directory, `${this.name}.log`), 'a');
    this.#isSignalled = false;
    const child = spawn(process.execPath, [this.program], {
      stdio: ['ignore', log, log],
      env: {...process.env, WASABIDYKE_SETTINGS: this.#settingsFile},
    });
    closeSync(log);
    living.add(child);
    this.#child = child;
    history.starts.push({
      entry: this.name,
      address: this.address,
      atMs: nowMs(),
    });
    await once(child, 'exit');
    living.delete(child);
    if (!this.#isSignalled && !this.#isEnded) {
      history.exits.push({entry: this.name, status: child.exitCode ?? -1});
    }
  }

  #toSettings(storeAddress: string): string {
    const {name, zone, regionByZone, ports} = this.#options;
    const [callers, entries, readiness, metrics, feed] = ports.map(
      port => `127.0.0.1:${port}`,
    );
    return JSON.stringify({
      name,
      zone,
      region: regionByZone[zone],
      regionByZone,
      listen: {callers, entries, readiness, metrics, feed},
      store: {address: storeAddress},
      stopWithin: `${STOP_WITHIN_MS}ms`,
      repeats: {ratio: 0.2, slack: 56, window: '10s'},
      loadQueriesPerSecond: 60,
      transferCosts: {crossZonePerMegabyte: 14, crossRegionPerMegabyte: 60},
      entryListAge: '2s',
    });
  }
}
