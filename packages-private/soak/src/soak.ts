/** One run: real entries, stand-ins around them, a schedule of faults, and the judgement of what was seen. */

import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {SeededRandom} from '@wasabidyke/policy';
import {findFreePorts} from '@wasabidyke/stand-ins';
import {Accounts, chooseChangingKey, chooseSteadyKey} from './accounts.js';
import {act, type Site} from './acts.js';
import {Caller, type CallerOptions} from './caller.js';
import {findViolations, type Violation} from './checks.js';
import {EntryProcess} from './entry-process.js';
import {EntrySockets} from './entry-sockets.js';
import {History, nowMs} from './history.js';
import {Operator} from './operator.js';
import {RawCaller} from './raw-caller.js';
import {RouteProber} from './route-prober.js';
import {CALM_MS, type Schedule} from './schedule.js';
import {StoreStandIn} from './store-stand-in.js';
import {WorkerSlot} from './worker-slot.js';

/** Age of reads that may be old, in milliseconds: the pages say seconds. */
const STALE_MS = 3_000;

/** What to run. */
export interface SoakOptions {
  readonly schedule: Schedule;
  readonly entries: number;
  readonly workers: number;
  readonly callers: number;
  /** The bundled entry. */
  readonly program: string;
  /** The one of an older build that entries begin with; undefined if they begin with this one. */
  readonly olderProgram?: string;
  /** Takes settings, logs and the history. */
  readonly directory: string;
}

/** What a run found. */
export interface SoakReport {
  readonly violations: readonly Violation[];
  readonly calls: number;
  readonly served: number;
  readonly arrivals: number;
}

const REGION_BY_ZONE = {'home-a': 'home', 'home-b': 'home', 'away-a': 'away'};
const ZONES = Object.keys(REGION_BY_ZONE);
const PORTS_PER_ENTRY = 5;

/** Usual callers for each one that sends what entries may refuse. */
const CALLERS_PER_RAW_ONE = 2;

/** Longest time for all entries to be ready, in milliseconds. */
const READY_MS = 15_000;
const READY_CHECK_MS = 50;

/** Time after the last fault in which the system may recover, in milliseconds. */
const RECOVER_MS = 4_000;

/** Runs a schedule and judges what callers and workers saw. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  mkdirSync(options.directory, {recursive: true});
  const site = await createSite(options);
  const {history, entries, joined, workers, store} = site;
  const runs = entries.map(entry => entry.run());
  try {
    await waitUntilReady(entries);
    await play(site, options);
  } finally {
    for (const entry of [...entries, ...joined]) {
      entry.end();
    }
    await Promise.all(runs);
    workers.forEach(worker => worker.close());
    store.close();
  }
  const violations = findViolations(history);
  save(options.directory, history, violations);
  return {
    violations,
    calls: history.calls.length,
    served: history.calls.filter(({status}) => status === 200).length,
    arrivals: history.arrivals.length,
  };
}

async function createSite(options: SoakOptions): Promise<Site> {
  const history = new History();
  const store = new StoreStandIn();
  store.staleMs = STALE_MS;
  // An older build passes keys on to workers, so that its runs have no accounts.
  const accounts =
    options.olderProgram === undefined ? new Accounts(history) : undefined;
  const operator = new Operator(store, history, accounts);
  const storeAddress = await store.listen();
  operator.moveRoute();
  const entries: EntryProcess[] = [];
  const joined: EntryProcess[] = [];
  const sockets = new EntrySockets(() => [...entries, ...joined]);
  const findOwner = (port: number) => {
    sockets.refresh();
    return sockets.ownerOf(port)?.address;
  };
  const workers = Array.from(
    {length: options.workers},
    (_, index) =>
      new WorkerSlot(
        `worker-${index + 1}`,
        ZONES[index % ZONES.length],
        index % 2 === 0 ? 'reads' : 'writes',
        operator,
        history,
        port => findOwner(port),
      ),
  );
  for (const worker of workers) {
    await worker.start();
  }
  const ports = await findFreePorts(options.entries * PORTS_PER_ENTRY);
  const createEntry = (index: number, entryPorts: readonly number[]) =>
    new EntryProcess({
      name: `entry-${index + 1}`,
      zone: ZONES[index % ZONES.length],
      regionByZone: REGION_BY_ZONE,
      ports: entryPorts,
      storeAddress,
      program: options.olderProgram ?? options.program,
      directory: options.directory,
      history,
    });
  for (let index = 0; index < options.entries; index++) {
    entries.push(createEntry(index, ports.slice(index * PORTS_PER_ENTRY)));
  }
  const links = new Map<string, string>();
  const join = async () => {
    // Ports that are chosen earlier may be taken by others meanwhile.
    const entryPorts = await findFreePorts(PORTS_PER_ENTRY);
    const entry = createEntry(entries.length + joined.length, entryPorts);
    links.set(entry.address, await entry.callers.listen());
    joined.push(entry);
    // Its processes are ended with those of the others.
    void entry.run();
  };
  const {program} = options;
  return {
    entries,
    joined,
    join,
    links,
    program,
    workers,
    store,
    operator,
    history,
  };
}

async function play(site: Site, options: SoakOptions): Promise<void> {
  const {history, entries, links} = site;
  const {seed, steps, lengthMs} = options.schedule;
  for (const entry of entries) {
    links.set(entry.address, await entry.callers.listen());
  }
  const createCaller = (
    name: string,
    index: number,
    keys: Pick<CallerOptions, 'chooseKey' | 'isRevocable'>,
  ) =>
    new Caller({
      ...keys,
      name,
      entries,
      history,
      random: new SeededRandom(seed + index),
      linkOf: address => links.get(address),
    });
  const callers = Array.from({length: options.callers}, (_, index) =>
    createCaller(`caller-${index + 1}`, index, {
      chooseKey: chooseSteadyKey(history, index),
      isRevocable: false,
    }),
  );
  if (history.keys.length > 0) {
    callers.push(
      createCaller('revoked', options.callers, {
        chooseKey: chooseChangingKey(history),
        isRevocable: true,
      }),
    );
  }
  const rawCallers = Array.from(
    {length: Math.ceil(options.callers / CALLERS_PER_RAW_ONE)},
    (_, index) =>
      new RawCaller({
        name: `raw-${index + 1}`,
        listEntries: () => [...site.entries, ...site.joined],
        history,
        random: new SeededRandom(seed + options.callers + 1 + index),
        chooseKey: chooseSteadyKey(history, index),
        // Half of them reach entries directly, past the faults of links.
        linkOf: index % 2 === 0 ? undefined : address => links.get(address),
      }),
  );
  const prober = new RouteProber({
    listEntries: () => [...site.entries, ...site.joined],
    history,
    random: new SeededRandom(seed + 2 * options.callers + 1),
    chooseKey: chooseSteadyKey(history, 0),
  });
  const all = [...callers, ...rawCallers, prober];
  const startMs = nowMs();
  const calls = all.map(caller => caller.run());
  const acts = steps.map(async step => {
    await sleep(step.atMs);
    await act(site, step);
  });
  await Promise.all(acts);
  const endMs = Math.max(startMs + lengthMs, nowMs() + CALM_MS);
  history.calmFromMs = nowMs() + RECOVER_MS;
  await sleep(endMs - nowMs());
  history.isOver = true;
  all.forEach(caller => caller.stop());
  await Promise.all(calls);
}

async function waitUntilReady(entries: readonly EntryProcess[]): Promise<void> {
  const untilMs = nowMs() + READY_MS;
  for (const entry of entries) {
    while (!(await isReady(entry))) {
      if (nowMs() > untilMs) {
        throw new Error(`${entry.name} is not ready after ${READY_MS} ms`);
      }
      await sleep(READY_CHECK_MS);
    }
  }
}

async function isReady({readinessPort}: EntryProcess): Promise<boolean> {
  try {
    const answer = await fetch(`http://127.0.0.1:${readinessPort}/-/ready`);
    return answer.status === 200;
  } catch {
    // It doesn't listen yet.
    return false;
  }
}

function save(
  directory: string,
  history: History,
  violations: readonly Violation[],
): void {
  const text = JSON.stringify({violations, ...history}, undefined, 1);
  writeFileSync(join(directory, 'history.json'), text);
}
