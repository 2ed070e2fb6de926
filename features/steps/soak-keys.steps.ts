/** Steps for the checks of a soak on the keys of client accounts. */

import {Given} from '@cucumber/cucumber';
import {
  SURGING_ACCOUNT,
  SURGING_KEY,
  toAnswer,
  type ArrivalRecord,
  type CallRecord,
  type History,
} from '@wasabidyke/soak';

interface SoakKeyWorld {
  history: History;
}

const ENTRY = '127.0.0.1:1';
const KEY = 'key-of-alpha';

/** When the key comes, when it is revoked, and a while that no bound excuses, in milliseconds. */
const KEY_FROM_MS = -20_000;
const REVOKED_AT_MS = 12_000;
const LONG_MS = 6_000;

/** Requests of the account with a quota of 8 a second and a burst of 8 that may run in 5 s, with the tolerance. */
const QUOTA_BOUND = 72;

/** What can be done in a history, by its name in the feature. */
const EVENTS: Readonly<Record<string, (history: History) => void>> = {
  'a request ran long after its key was revoked': history =>
    addCall(history, REVOKED_AT_MS + LONG_MS, {}, {}),
  'a request ran long after a fault beside the revocation of its key':
    history => {
      history.disturbances.push({
        subject: 'store',
        what: 'store-lost',
        fromMs: REVOKED_AT_MS,
        toMs: REVOKED_AT_MS + 1_000,
        isPlanned: false,
      });
      addCall(history, REVOKED_AT_MS + 2 * LONG_MS, {}, {});
    },
  'a worker got a key': history => addCall(history, 1_000, {}, {hasKey: true}),
  'a request ran on another account': history =>
    addCall(history, 1_000, {}, {account: 'beta'}),
  'a request ran on no account': history =>
    addCall(history, 1_000, {}, {account: undefined}),
  'a valid key was refused': history =>
    addCall(history, 1_000, {status: 401}, undefined),
  'a key was refused though it had come long before': history => {
    history.keys.push({key: 'later', account: 'alpha', fromMs: 1_000});
    addCall(history, 1_000 + LONG_MS, {status: 401, key: 'later'}, undefined);
  },
  'a request that was answered 401 ran': history =>
    addCall(
      history,
      REVOKED_AT_MS + 1_000,
      {status: 401, kind: 'unsafe', path: '/write/1'},
      {service: 'writes'},
    ),
  'a request ran shortly after its key was revoked': history =>
    addCall(history, REVOKED_AT_MS + 1_000, {}, {}),
  'a revoked key was refused': history =>
    addCall(history, REVOKED_AT_MS + 1_000, {status: 401}, undefined),
  'an account ran more than its quota': history =>
    addSurge(history, QUOTA_BOUND + 1),
  'an account ran as much as its quota allows': history =>
    addSurge(history, QUOTA_BOUND),
  'a new key was refused shortly after it came': history => {
    history.keys.push({key: 'later', account: 'alpha', fromMs: 1_000});
    addCall(history, 2_000, {status: 401, key: 'later'}, undefined);
  },
};

Given(
  new RegExp(`^with client accounts (${Object.keys(EVENTS).join('|')})$`),
  function (this: SoakKeyWorld, what: string) {
    this.history.keys.push({
      key: KEY,
      account: 'alpha',
      fromMs: KEY_FROM_MS,
      revokedAtMs: REVOKED_AT_MS,
    });
    EVENTS[what](this.history);
  },
);

/** Adds requests of the account with a quota, all within a window. */
function addSurge(history: History, count: number): void {
  history.keys.push({
    key: SURGING_KEY,
    account: SURGING_ACCOUNT,
    fromMs: KEY_FROM_MS,
  });
  for (let index = 0; index < count; index++) {
    const call = {key: SURGING_KEY, isSurging: true} as const;
    addCall(history, 1_000 + index, call, {account: SURGING_ACCOUNT});
  }
}

/** Adds a request with a key. @param arrivalChanges Undefined if it reached no worker. */
function addCall(
  history: History,
  sentAtMs: number,
  changes: Partial<CallRecord>,
  arrivalChanges: Partial<ArrivalRecord> | undefined,
): void {
  const id = 'with-a-key';
  const call: CallRecord = {
    id,
    kind: 'safe',
    path: '/read/1',
    entry: ENTRY,
    sentAtMs,
    endedAtMs: sentAtMs + 1,
    key: KEY,
    status: 200,
    worker: 'w1',
    body: toAnswer('w1', id, ''),
    ...changes,
  };
  history.calls.push(call);
  if (arrivalChanges !== undefined) {
    history.arrivals.push({
      id,
      path: call.path,
      worker: 'w1',
      service: 'reads',
      body: '',
      atMs: sentAtMs,
      hasRun: true,
      account: 'alpha',
      ...arrivalChanges,
    });
  }
}
