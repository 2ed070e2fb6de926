/** Carries out the steps of a schedule on the processes and stand-ins of a run. */

import type {LinkState} from '@wasabidyke/stand-ins';
import {STOP_WITHIN_MS, type EntryProcess} from './entry-process.js';
import {nowMs, type History} from './history.js';
import {actOnReader, changeOften, replaceOlder} from './acts-on-builds.js';
import {
  announceLate,
  changeBesideKills,
  evacuateZone,
  leaveOddRecords,
} from './acts-on-records.js';
import {drillStore, silenceWatches} from './acts-on-store.js';
import {stopBesideLongOrders} from './acts-on-stops.js';
import {sendLateOrders, surgeAccount} from './acts-on-callers.js';
import {changeBesideFaults, changeRoutes} from './acts-on-routes.js';
import {cutEntries} from './entry-cut.js';
import {sendCrashing} from './crashing-request.js';
import type {Operator} from './operator.js';
import type {Act, Step} from './schedule.js';
import type {StoreFault, StoreStandIn} from './store-stand-in.js';
import type {WorkerSlot} from './worker-slot.js';
import type {WorkerFault} from './worker-stand-in.js';

/** What acts are done to. */
export interface Site {
  readonly entries: readonly EntryProcess[];
  /** Entries that joined; they aren't the subjects of acts. */
  readonly joined: EntryProcess[];
  /** Where callers reach an entry, by the address that it names. */
  readonly links: Map<string, string>;
  /** Starts another entry, which runs until the end. */
  readonly join: () => Promise<void>;
  /** The program of this build; entries may begin with an older one. */
  readonly program: string;
  readonly workers: readonly WorkerSlot[];
  readonly store: StoreStandIn;
  readonly operator: Operator;
  readonly history: History;
}

/** Rest that workers ask for, in seconds. */
const REST_SECONDS = 2.5;

/** Workers that rest or name a limit at the same time, and the lowest of their limits, in requests per second. */
const LIMITED_WORKERS = 3;
const LOWEST_LIMIT = 0.7;

const OPEN: LinkState = {mode: 'open', delayMs: 0};
const SILENT: LinkState = {mode: 'silent', delayMs: 0};
const RESET: LinkState = {mode: 'reset', delayMs: 0};
const DELAY_MS = 150;
const DELAYED: LinkState = {mode: 'open', delayMs: DELAY_MS};

const STORE_FAULTS: Partial<Record<Act, StoreFault>> = {
  'store-busy': 'busy',
  'store-silent': 'silent',
  'store-slow': 'slow',
  'store-lost': 'lost',
};

const WORKER_FAULTS: Partial<Record<Act, WorkerFault>> = {
  'worker-slow': 'slow',
  'worker-errors': 'errors',
  'worker-truncates': 'truncates',
  'worker-hangs': 'hangs',
  'worker-repeats-refusal': 'repeats-refusal',
  'worker-cuts-head': 'cuts-head',
  'worker-tiny-chunks': 'tiny-chunks',
};

const ENTRY_LINKS: Partial<
  Record<Act, readonly ['callers' | 'store', LinkState]>
> = {
  'entry-store-cut': ['store', RESET],
  'entry-store-silent': ['store', SILENT],
  'entry-store-slow': ['store', DELAYED],
  'entry-callers-reset': ['callers', RESET],
};

const WORKER_LINKS: Partial<Record<Act, LinkState>> = {
  'worker-link-silent': SILENT,
  'worker-link-delay': DELAYED,
};

/** Does one step; resolves when it is over. */
export async function act(site: Site, step: Step): Promise<void> {
  if (step.act === 'crashing-request') {
    // It is sent until the end of the run; the run doesn't wait for it.
    const entries = () => [...site.entries, ...site.joined];
    void sendCrashing(entries, site.history, step.subject);
  } else if (step.act === 'entries-kill') {
    killAll(site);
  } else if (step.act === 'workers-limit') {
    await limitWorkers(site, step);
  } else if (step.act === 'entries-cut') {
    await cutEntries(site, step);
  } else if (step.act === 'workers-rest') {
    await restWorkers(site, step);
  } else if (step.act === 'entries-join') {
    await site.join();
  } else if (step.act === 'configuration-burst') {
    await changeOften(site, step);
  } else if (step.act === 'odd-records') {
    await leaveOddRecords(site, step);
  } else if (step.act === 'late-announcement') {
    await announceLate(site, step);
  } else if (step.act === 'configurations-and-kills') {
    await changeBesideKills(site, step);
  } else if (step.act === 'zone-evacuate') {
    await evacuateZone(site, step);
  } else if (step.act === 'stop-beside-orders') {
    await stopBesideLongOrders(site, step);
  } else if (step.act === 'account-surge') {
    // Runs of older builds have no accounts.
    if (site.history.keys.length > 0) {
      await surgeAccount(site, step);
    }
  } else if (step.act === 'routes-and-faults') {
    await changeBesideFaults(site, step, act);
  } else if (step.act.startsWith('routes-')) {
    await changeRoutes(site, step);
  } else if (step.act === 'late-orders') {
    await sendLateOrders(site, step);
  } else if (step.act === 'watches-silent') {
    silenceWatches(site);
  } else if (step.act === 'store-drill') {
    await drillStore(site, step);
  } else if (step.act === 'entries-upgrade') {
    await replaceOlder(site);
  } else if (step.act.startsWith('reader-')) {
    await actOnReader(site, step);
  } else if (step.act === 'move-route') {
    site.operator.moveRoute();
  } else if (step.act.startsWith('store-')) {
    await actOnStore(site, step);
  } else if (step.act.startsWith('entry-')) {
    await actOnEntry(site, step);
  } else {
    await actOnWorker(site, step);
  }
}

async function actOnStore(site: Site, step: Step): Promise<void> {
  const {store, history} = site;
  const disturbed = {subject: 'store', what: step.act, isPlanned: false};
  const fromMs = nowMs();
  if (step.act === 'store-compact') {
    store.compact();
    history.disturbances.push({...disturbed, fromMs, toMs: fromMs});
    return;
  }
  const fault = STORE_FAULTS[step.act] ?? 'none';
  history.disturbances.push({...disturbed, fromMs, toMs: fromMs + step.forMs});
  store.fault = fault;
  await sleep(step.forMs);
  if (store.fault === fault) {
    store.fault = 'none';
  }
}

async function actOnEntry(site: Site, step: Step): Promise<void> {
  const {entries, history} = site;
  const entry = entries[step.subject % entries.length];
  const fromMs = nowMs();
  const isPlanned = step.act === 'entry-stop' || step.act === 'entry-hang-up';
  const note = (toMs: number) =>
    history.disturbances.push({
      subject: entry.address,
      what: step.act,
      fromMs,
      toMs,
      isPlanned,
    });
  const link = ENTRY_LINKS[step.act];
  if (link !== undefined) {
    const [side, state] = link;
    note(fromMs + step.forMs);
    entry[side].change(state);
    await sleep(step.forMs);
    entry[side].change(OPEN);
    return;
  }
  switch (step.act) {
    case 'entry-kill':
      note(fromMs);
      entry.signal('SIGKILL');
      return;
    case 'entry-hang-up':
      note(fromMs);
      entry.signal('SIGHUP');
      return;
    case 'entry-freeze':
    case 'entry-pause':
      note(fromMs + step.forMs);
      await entry.pause(step.forMs);
      return;
    default:
      note(fromMs + STOP_WITHIN_MS);
      await entry.stop();
  }
}

/** Kills all entries at the same moment: what they know is what the store holds. */
function killAll({entries, joined, history}: Site): void {
  const fromMs = nowMs();
  for (const entry of [...entries, ...joined]) {
    history.disturbances.push({
      subject: entry.address,
      what: 'entries-kill',
      fromMs,
      toMs: fromMs,
      isPlanned: false,
    });
    entry.signal('SIGKILL');
  }
}

/** Has some workers name a limit, one after the other another one, until the time is over. */
async function limitWorkers({workers}: Site, step: Step): Promise<void> {
  const limited = Array.from(
    {length: LIMITED_WORKERS},
    (_, index) => workers[(step.subject + index) % workers.length].worker,
  );
  limited.forEach((worker, index) =>
    worker.nameLimit(LOWEST_LIMIT * (1 + index)),
  );
  await sleep(step.forMs);
  limited.forEach(worker => worker.nameLimit(undefined));
}

/** Has some workers turn all requests away and ask for rest, until the time is over. */
async function restWorkers({workers}: Site, step: Step): Promise<void> {
  const resting = Array.from(
    {length: LIMITED_WORKERS},
    (_, index) => workers[(step.subject + index) % workers.length].worker,
  );
  resting.forEach(worker => (worker.restSeconds = REST_SECONDS));
  await sleep(step.forMs);
  resting.forEach(worker => (worker.restSeconds = undefined));
}

async function actOnWorker(site: Site, step: Step): Promise<void> {
  const {workers, history} = site;
  const slot = workers[step.subject % workers.length];
  if (slot.isBusy) {
    return;
  }
  const fromMs = nowMs();
  const subject = slot.worker.id;
  const note = () =>
    history.disturbances.push({
      subject,
      what: step.act,
      fromMs,
      toMs: fromMs + step.forMs,
      isPlanned: false,
    });
  const state = WORKER_LINKS[step.act];
  const fault = WORKER_FAULTS[step.act];
  if (state !== undefined) {
    note();
    slot.link.change(state);
    await sleep(step.forMs);
    slot.link.change(OPEN);
  } else if (fault !== undefined) {
    note();
    slot.worker.fault = fault;
    await sleep(step.forMs);
    slot.worker.fault = 'none';
  } else if (step.act === 'worker-crash') {
    note();
    await slot.crash(step.forMs);
  } else if (step.act === 'worker-says-leaving') {
    note();
    await slot.leaveByAnswers(step.forMs);
  } else if (step.act === 'worker-replace') {
    note();
    await slot.replace();
  } else {
    await slot.leave(step.act === 'worker-drain');
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
