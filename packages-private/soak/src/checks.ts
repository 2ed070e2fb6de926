/** What must hold, judged from what callers and workers saw alone. Each check lists its violations. */

import {
  type ArrivalRecord,
  type CallRecord,
  type ConfigurationRecord,
  type History,
} from './history.js';
import {checkDenied} from './checks-denied.js';
import {checkEvacuated} from './checks-evacuated.js';
import {checkKeys, checkUnauthorized} from './checks-keys.js';
import {checkLimit} from './checks-limit.js';
import {checkListed} from './checks-listed.js';
import {checkQuota} from './checks-quota.js';
import {checkReach} from './checks-reach.js';
import {checkUnfinished} from './checks-stop.js';
import {checkRecover} from './checks-recover.js';
import {checkLeft, checkRest} from './checks-rest.js';
import {isInTouch, STABLE_WINDOW_MS} from './checks-touch.js';
import {
  COMING_PREFIX,
  SPLIT_PREFIX,
  WEIGHTLESS_PREFIX,
} from './changing-routes.js';
import {toAnswer} from './worker-stand-in.js';

/** A promise that was broken. */
export interface Violation {
  readonly check: string;
  readonly text: string;
}

/** Bounds of the platform's sites, in milliseconds. */
export const BOUNDS = {
  stableWindowMs: STABLE_WINDOW_MS,
  drainMs: 2_500,
  configApplyMs: 2_500,
  keyMs: 3_000,
  downgradeSlackMs: 250,
  lossSlackMs: 200,
  leaveMs: 500,
  budgetWindowMs: 10_000,
};

const BUDGET_RATIO = 0.2;
const BUDGET_SLACK = 56;

/** Requests that may reach a worker after their caller left before it counts. Source: the rules say a few. */
const FEW = 3;

/** Workers that one request may crash before all entries must know, and its later arrivals that are still allowed. Source: the rules. */
const CRASHES = 3;
const ARRIVALS_AFTER_CRASHES = 3;

/** Longest time in seconds for which a request may be told to stay away that crashes nothing: room is back long before. */
const BLAMED_SECONDS = 60;

/** Services that a path may go to. */
const SERVICES: Readonly<Record<string, readonly string[]>> = {
  '/read/': ['reads'],
  '/write/': ['writes'],
  '/moving/': ['reads', 'writes'],
  '/long/': ['writes'],
  [COMING_PREFIX]: ['reads', 'writes'],
  [SPLIT_PREFIX]: ['reads', 'writes'],
  [WEIGHTLESS_PREFIX]: ['reads'],
};

const NOT_RUN_STATUSES = [401, 408, 421, 429, 503];

/** All checks, by name. */
export const CHECKS: Readonly<Record<string, (history: History) => string[]>> =
  {
    twice: checkTwice,
    refused: checkRefused,
    mixed: checkMixed,
    unasked: checkUnasked,
    route: checkRoute,
    drain: checkDrain,
    configuration: checkConfiguration,
    regress: checkRegress,
    budget: checkBudget,
    crashes: checkCrashes,
    blamed: checkBlamed,
    gone: checkGone,
    lost: checkLost,
    listed: checkListed,
    limit: checkLimit,
    quota: checkQuota,
    reach: checkReach,
    rest: checkRest,
    left: checkLeft,
    evacuated: checkEvacuated,
    unfinished: checkUnfinished,
    keys: checkKeys,
    unauthorized: checkUnauthorized,
    denied: checkDenied,
    recover: checkRecover,
    exits: ({exits}) =>
      exits.map(({entry, status}) => `${entry} ended with status ${status}`),
  };

/** Judges a history. */
export function findViolations(history: History): readonly Violation[] {
  return Object.entries(CHECKS).flatMap(([check, find]) =>
    find(history).map(text => ({check, text})),
  );
}

function checkTwice({calls, arrivals}: History): string[] {
  const runs = groupRuns(arrivals);
  return calls
    .filter(({id, kind}) => kind === 'unsafe' && (runs.get(id) ?? 0) > 1)
    .map(({id}) => `${id} ran ${runs.get(id)} times`);
}

function checkRefused({calls, arrivals}: History): string[] {
  const runs = groupRuns(arrivals);
  return calls
    .filter(({kind, status}) => kind === 'unsafe' && isNotRun(status))
    .filter(({id}) => runs.has(id))
    .map(({id, status}) => `${id} was answered ${status} and has run`);
}

function checkMixed({calls, arrivals}: History): string[] {
  const found: string[] = [];
  for (const {id, status, body, worker} of calls) {
    if (status !== 200) {
      continue;
    }
    const isWhole = arrivals.some(
      arrival =>
        arrival.id === id &&
        arrival.worker === worker &&
        body === toAnswer(arrival.worker, id, arrival.body),
    );
    if (!isWhole) {
      found.push(`${id} got ${body} as the answer of ${worker}`);
    }
  }
  return found;
}

function checkUnasked({calls, arrivals}: History): string[] {
  const byId = new Map(calls.map(call => [call.id, call]));
  return arrivals
    .filter(({hasRun}) => hasRun)
    .filter(({id, path}) => byId.get(id)?.path !== path)
    .map(({id, path, worker}) => `${worker} ran ${id} ${path}, never sent`);
}

function checkRoute({arrivals}: History): string[] {
  return arrivals
    .filter(({hasRun}) => hasRun)
    .filter(({path, service}) => {
      const prefix = toPrefix(path);
      return !(SERVICES[prefix] ?? []).includes(service);
    })
    .map(({id, path, service}) => `${id} ${path} ran at ${service}`);
}

function checkDrain(history: History): string[] {
  const {arrivals, leavings, calls} = history;
  const byId = new Map(calls.map(call => [call.id, call]));
  const leftAt = new Map(leavings.map(({worker, atMs}) => [worker, atMs]));
  return arrivals
    .filter(({hasRun, worker, atMs, id}) => {
      const left = leftAt.get(worker);
      const entry = byId.get(id)?.entry;
      const isLate = left !== undefined && atMs > left + BOUNDS.drainMs;
      return (
        isLate &&
        hasRun &&
        entry !== undefined &&
        isInTouch(history, entry, left, atMs) &&
        history.isCalm(worker, left - BOUNDS.stableWindowMs, atMs)
      );
    })
    .map(({id, worker, atMs}) => {
      const late = Math.round(atMs - (leftAt.get(worker) ?? atMs));
      return `${id} reached ${worker} ${late} ms after it left`;
    });
}

function checkConfiguration(history: History): string[] {
  const {calls, configurations} = history;
  const found: string[] = [];
  for (const run of movingRuns(history)) {
    const call = calls.find(({id}) => id === run.id);
    if (call === undefined) {
      continue;
    }
    const {sentAtMs, entry} = call;
    const settled = configurations.findLast(
      ({atMs}) => atMs <= sentAtMs - BOUNDS.configApplyMs,
    );
    const allowed = configurations
      .filter(({version}) => version >= (settled?.version ?? 0))
      .map(({movedTo}) => movedTo);
    const isOld = settled !== undefined && !allowed.includes(run.service);
    // Whatever was disturbed, a change is in force once all has been calm for both bounds.
    const sinceMs = Math.max(
      settled?.atMs ?? 0,
      sentAtMs - BOUNDS.configApplyMs,
    );
    if (isOld && isInTouch(history, entry, sinceMs, run.atMs)) {
      const late = Math.round(sentAtMs - settled.atMs);
      found.push(`${run.id} ran at ${run.service}, ${late} ms after the move`);
    }
  }
  return found;
}

/** Follows the oldest version that each life of an entry can be at; it must not pass the newest written. */
function checkRegress(history: History): string[] {
  const {calls, configurations, starts} = history;
  const callById = new Map(calls.map(call => [call.id, call]));
  const floors = new Map<string, {floor: ConfigurationRecord; atMs: number}>();
  const found: string[] = [];
  for (const run of movingRuns(history)) {
    const call = callById.get(run.id);
    if (call === undefined) {
      continue;
    }
    const life = starts.filter(
      ({entry, atMs}) => entry === call.entry && atMs <= run.atMs,
    ).length;
    const key = `${call.entry} ${life}`;
    const known = floors.get(key);
    const since = (known?.atMs ?? -Infinity) + BOUNDS.downgradeSlackMs;
    const isLater = call.sentAtMs > since;
    const from = isLater ? (known?.floor.version ?? 0) : 0;
    const floor = configurations.find(
      ({version, movedTo}) => version >= from && movedTo === run.service,
    );
    if (floor === undefined || floor.atMs > run.atMs) {
      found.push(`${run.id} ran at ${run.service} after a newer version`);
    } else if (floor.version > (known?.floor.version ?? 0)) {
      floors.set(key, {floor, atMs: run.atMs});
    }
  }
  return found;
}

function checkBudget({calls, arrivals}: History): string[] {
  const seen = new Set<string>();
  const repeats: ArrivalRecord[] = [];
  for (const arrival of arrivals) {
    if (seen.has(arrival.id)) {
      repeats.push(arrival);
    }
    seen.add(arrival.id);
  }
  const {budgetWindowMs: windowMs} = BOUNDS;
  const found: string[] = [];
  for (const {service, atMs: endMs} of repeats) {
    const inWindow = (atMs: number, backMs = 0) =>
      atMs > endMs - backMs - windowMs && atMs <= endMs - backMs;
    const spent = repeats.filter(
      other => other.service === service && inWindow(other.atMs),
    ).length;
    const sent = (backMs: number) =>
      calls.filter(
        ({path, sentAtMs}) =>
          SERVICES[toPrefix(path)]?.includes(service) &&
          inWindow(sentAtMs, backMs),
      ).length;
    const most = Math.max(sent(0), sent(windowMs / 2), sent(windowMs));
    if (spent > BUDGET_RATIO * most + BUDGET_SLACK) {
      found.push(`${spent} repeats at ${service} for ${most} requests`);
    }
  }
  return found;
}

/** A crashing request counts only where its entry and the store were left alone long enough to know of it. */
function checkCrashes(history: History): string[] {
  const {calls, arrivals} = history;
  const crashing = new Map(
    calls
      .filter(({isCrashing}) => isCrashing === true)
      .map(call => [call.id, call]),
  );
  const runs = arrivals.filter(({id, hasRun}) => hasRun && crashing.has(id));
  const found: string[] = [];
  for (const path of new Set(runs.map(run => run.path))) {
    const own = runs.filter(run => run.path === path);
    const ends = own
      .map(({endedAtMs = Infinity}) => endedAtMs)
      .sort((left, right) => left - right);
    const thirdAtMs = ends[CRASHES - 1] ?? Infinity;
    const late = own.filter(({id, atMs}) => {
      const entry = crashing.get(id)?.entry ?? '';
      const isLate = atMs > thirdAtMs + BOUNDS.stableWindowMs;
      return isLate && isInTouch(history, entry, atMs, atMs);
    });
    if (late.length > ARRIVALS_AFTER_CRASHES) {
      found.push(
        `${path} reached ${own.length} workers, ${late.length} of them long after it had crashed ${CRASHES}`,
      );
    }
  }
  return found;
}

/** A request that crashes nothing is never told to stay away for as long as one that does. */
function checkBlamed({calls}: History): string[] {
  return calls
    .filter(({isCrashing}) => isCrashing === undefined)
    .filter(({retryAfterSeconds = 0}) => retryAfterSeconds > BLAMED_SECONDS)
    .map(
      ({id, path, entry, retryAfterSeconds}) =>
        `${id} ${path} was refused by ${entry} for ${retryAfterSeconds} s`,
    );
}

/** The rule holds for entries that were left alone: a paused one can't see a caller leave. */
function checkGone(history: History): string[] {
  const {calls, arrivals} = history;
  const left = calls.filter(({leftAtMs}) => leftAtMs !== undefined);
  const late = left.filter(({id, entry, leftAtMs = 0}) =>
    arrivals.some(
      ({id: arrived, atMs}) =>
        arrived === id &&
        atMs > leftAtMs + BOUNDS.leaveMs &&
        history.isCalm(entry, leftAtMs - BOUNDS.stableWindowMs, atMs),
    ),
  );
  return late.length > FEW
    ? late.map(({id}) => `${id} reached a worker after its caller left`)
    : [];
}

/** Requests that were lost around a planned stop of their entry, with nothing else disturbed. */
function checkLost(history: History): string[] {
  const {calls, arrivals, disturbances} = history;
  const stops = disturbances.filter(({isPlanned}) => isPlanned);
  return calls
    .filter(
      ({status, leftAtMs}) => status === undefined && leftAtMs === undefined,
    )
    .filter(call => {
      const {id, entry, sentAtMs, endedAtMs = sentAtMs} = call;
      const from = sentAtMs - BOUNDS.stableWindowMs;
      const isStopping = stops.some(
        ({subject, fromMs, toMs}) =>
          subject === entry && fromMs < endedAtMs && toMs + 1_000 > sentAtMs,
      );
      const isAlone = !disturbances.some(
        ({isPlanned, subject, fromMs, toMs}) =>
          (!isPlanned || subject !== entry) &&
          fromMs < endedAtMs &&
          toMs > from,
      );
      const hasArrived = arrivals.some(arrival => arrival.id === id);
      const isHeld = endedAtMs - sentAtMs > BOUNDS.lossSlackMs;
      return isStopping && isAlone && (hasArrived || isHeld);
    })
    .map(({id, entry, error}) => `${id} was lost at ${entry}: ${error}`);
}

function groupRuns(arrivals: readonly ArrivalRecord[]): Map<string, number> {
  const runs = new Map<string, number>();
  for (const {id, hasRun} of arrivals) {
    if (hasRun) {
      runs.set(id, (runs.get(id) ?? 0) + 1);
    }
  }
  return runs;
}

function movingRuns({arrivals}: History): readonly ArrivalRecord[] {
  return arrivals.filter(
    ({hasRun, path}) => hasRun && toPrefix(path) === '/moving/',
  );
}

function isNotRun(status: CallRecord['status']): boolean {
  return status !== undefined && NOT_RUN_STATUSES.includes(status);
}

function toPrefix(path: string): string {
  return path.slice(0, path.indexOf('/', 1) + 1);
}
