/** Steps for the check of a soak on proper requests that are turned away as if they were wrong. */

import {Given} from '@cucumber/cucumber';
import {
  HOST,
  OTHER_HOST,
  type CallRecord,
  type ConfigurationRecord,
  type History,
  type LimitRecord,
  type RouteRecord,
} from '@wasabidyke/soak';

interface SoakDeniedWorld {
  history: History;
}

const ENTRY = '127.0.0.1:1';

/** When the second configuration is written, shortly after that, and when it is in force for long, in milliseconds. */
const CHANGED_AT_MS = 10_000;
const SHORTLY_MS = CHANGED_AT_MS + 1_000;
const LONG_AFTER_MS = CHANGED_AT_MS + 9_000;

const COMING: RouteRecord = {
  host: HOST,
  prefix: '/coming/',
  weights: {reads: 1},
};
const LIMITS: LimitRecord = {headBytes: 4_096, bodyBytes: 50_000};

/** What can be done in a history, by its name in the feature. */
const EVENTS: Readonly<Record<string, (history: History) => void>> = {
  'an entry in touch answered 404 on a route that came long before':
    history => {
      addRoute(history);
      addDenied(history, LONG_AFTER_MS, {});
    },
  'an entry out of touch answered 404 on a route that was always there':
    history => {
      addRoute(history);
      disturb(history, LONG_AFTER_MS);
      addDenied(history, LONG_AFTER_MS, {path: '/read/1'});
    },
  'an entry out of touch answered 404 on a route that it had long served':
    history => {
      addRoute(history);
      addDenied(history, LONG_AFTER_MS, {status: 503});
      disturb(history, LONG_AFTER_MS + 1_000);
      addDenied(history, LONG_AFTER_MS + 1_000, {});
    },
  'a head at the limit of all versions was answered 431': history => {
    change(history, {limits: {...LIMITS, headBytes: 2_048}});
    addDenied(history, SHORTLY_MS, {
      path: '/read/1',
      status: 431,
      headBytes: 2_048,
    });
  },
  'a body within a limit that rose long before was answered 413': history => {
    change(history, {limits: {...LIMITS, bodyBytes: 100_000}});
    const sent = {path: '/write/1', status: 413, bodyBytes: 100_000};
    addDenied(history, LONG_AFTER_MS, {...sent, kind: 'unsafe'});
  },
  'a look-up was answered 400': history =>
    addDenied(history, SHORTLY_MS, {path: '/read/1', status: 400}),
  'a look-up was redirected': history =>
    addDenied(history, SHORTLY_MS, {path: '/read/1', status: 302}),
  '404 came shortly after its route was added': history => {
    addRoute(history);
    addDenied(history, SHORTLY_MS, {});
  },
  '404 came shortly after its route was removed': history => {
    addRoute(history, -LONG_AFTER_MS);
    change(history, {routes: toRoutes()});
    addDenied(history, SHORTLY_MS, {});
  },
  '404 came long after its route was removed': history => {
    addRoute(history, -LONG_AFTER_MS);
    change(history, {routes: toRoutes()});
    addDenied(history, LONG_AFTER_MS, {});
  },
  '404 came for a route that never was': history =>
    addDenied(history, LONG_AFTER_MS, {path: '/never/1'}),
  '404 came for a path whose route is on another host': history => {
    addRoute(history);
    addDenied(history, LONG_AFTER_MS, {host: OTHER_HOST});
  },
  '404 came for a route without a service of positive weight': history => {
    const weightless = {...COMING, weights: {reads: 0, writes: 0}};
    change(history, {routes: [...toRoutes(), weightless]});
    addDenied(history, LONG_AFTER_MS, {});
  },
  'an entry out of touch answered 404 on a route that came meanwhile':
    history => {
      disturb(history, CHANGED_AT_MS);
      addRoute(history);
      addDenied(history, CHANGED_AT_MS + 4_000, {});
    },
  'an entry that was started answered 404 on a route that came long before':
    history => {
      addRoute(history);
      addDenied(history, LONG_AFTER_MS, {status: 503});
      const atMs = LONG_AFTER_MS + 500;
      history.starts.push({entry: 'entry-1', address: ENTRY, atMs});
      addDenied(history, LONG_AFTER_MS + 1_000, {});
    },
  '413 came shortly after the limit fell': history => {
    change(history, {limits: {...LIMITS, bodyBytes: 20_000}});
    const sent = {path: '/write/1', status: 413, bodyBytes: 50_000};
    addDenied(history, SHORTLY_MS, {...sent, kind: 'unsafe'});
  },
  'a request was answered 421, 429 or 408': history => {
    for (const status of [408, 421, 429]) {
      addDenied(history, SHORTLY_MS, {path: '/read/1', status});
    }
  },
  'a worker answered 404': history => {
    addDenied(history, SHORTLY_MS, {path: '/read/1', worker: 'w1'});
  },
};

Given(
  new RegExp(`^with changing routes (${Object.keys(EVENTS).join('|')})$`),
  function (this: SoakDeniedWorld, what: string) {
    const {configurations} = this.history;
    configurations.splice(0, configurations.length, {
      version: 1,
      movedTo: 'reads',
      routes: toRoutes(),
      limits: LIMITS,
      atMs: 0,
    });
    EVENTS[what](this.history);
  },
);

/** Routes that are always there. */
function toRoutes(): readonly RouteRecord[] {
  return [
    {host: HOST, prefix: '/read/', weights: {reads: 1}},
    {host: HOST, prefix: '/write/', weights: {writes: 1}},
  ];
}

function addRoute(history: History, atMs = CHANGED_AT_MS): void {
  change(history, {routes: [...toRoutes(), COMING], atMs});
}

/** Writes another configuration; versions are in the order of their times. */
function change(
  {configurations}: History,
  changes: Partial<ConfigurationRecord>,
): void {
  const [first] = configurations;
  configurations.push({...first, atMs: CHANGED_AT_MS, ...changes});
  configurations.sort((left, right) => left.atMs - right.atMs);
  configurations.splice(
    0,
    configurations.length,
    ...configurations.map((other, index) => ({...other, version: index + 1})),
  );
}

function disturb({disturbances}: History, atMs: number): void {
  disturbances.push({
    subject: ENTRY,
    what: 'entry-store-cut',
    isPlanned: false,
    fromMs: atMs - 500,
    toMs: atMs + 500,
  });
}

/** Adds a request that reached no worker. */
function addDenied(
  {calls}: History,
  sentAtMs: number,
  changes: Partial<CallRecord>,
): void {
  calls.push({
    id: `denied-${calls.length}`,
    kind: 'safe',
    path: '/coming/1',
    entry: ENTRY,
    sentAtMs,
    endedAtMs: sentAtMs + 1,
    status: 404,
    ...changes,
  });
}
