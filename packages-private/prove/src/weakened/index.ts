/** Naive parts that stand in for an entry's own, to show that the checks can fail. */

import type {ContainerChange, EntryCradle} from '@wasabidyke/entry';
import type {PromiseName} from '@wasabidyke/stand-ins';
import {parseManifestRecord} from '@wasabidyke/manifest';
import {asFunction} from 'awilix';
import {
  AnyHomeIssuer,
  AnyRevisionGuard,
  BlindCrashGuard,
  OptimisticDispatcher,
  RetryingDispatcher,
  SilentDeparturePublisher,
  TrustingDispatcher,
  WholeBudgetSlot,
} from './naive-parts.js';

/** A naive part in the place of a mechanism. */
export interface Weakening {
  /** The promise that the mechanism keeps. */
  readonly promise: PromiseName;
  /** What is left out. */
  readonly description: string;
  readonly change: ContainerChange;
}

const KEY_LIFETIME_MS = 600_000;

/** All of them, by name. */
export const WEAKENINGS: Readonly<Record<string, Weakening>> = {
  'ledger-without-homes': {
    promise: 'at-most-once',
    description: 'every entry runs every key by its own ledger',
    change: container => {
      container.register({
        issuer: asFunction(
          ({settings, incarnation, issueCounter}: EntryCradle) =>
            new AnyHomeIssuer(
              settings.name,
              incarnation,
              KEY_LIFETIME_MS,
              issueCounter,
            ),
        ).singleton(),
      });
    },
  },
  'retry-after-bytes': {
    promise: 'at-most-once',
    description: 'a request is sent again after bytes of it were sent',
    change: registerDispatcher(RetryingDispatcher),
  },
  'not-run-after-bytes': {
    promise: 'not-run',
    description: 'a request whose answer was lost is told not to have run',
    change: registerDispatcher(OptimisticDispatcher),
  },
  'cut-taken-for-whole': {
    promise: 'whole-answer',
    description: 'the end of a connection is taken for the end of an answer',
    change: registerDispatcher(TrustingDispatcher),
  },
  'departures-not-spread': {
    promise: 'leaving-upstream',
    description: 'an entry keeps to itself which upstreams leave',
    change: container => {
      container.register({
        departurePublisher: asFunction(
          () => new SilentDeparturePublisher(),
        ).singleton(),
      });
    },
  },
  'stop-without-draining': {
    promise: 'planned-stop',
    description: 'an entry ends at once when it is asked to stop',
    change: () => {
      process.once('SIGTERM', () => process.exit(0));
    },
  },
  'revision-guard-off': {
    promise: 'manifest',
    description: 'an older manifest may replace the one in force',
    change: container => {
      container.register({
        revisionGuard: asFunction(() => new AnyRevisionGuard()).singleton(),
      });
      offerWhateverTheStoreTells(container.cradle);
    },
  },
  'budget-not-split': {
    promise: 'load-watch',
    description: 'each entry spends the whole budget',
    change: container => {
      container.register({
        budgetSlot: asFunction(() => new WholeBudgetSlot()).singleton(),
      });
    },
  },
  'poison-guard-off': {
    promise: 'poison',
    description: 'no request is taken for a suspect',
    change: container => {
      container.register({
        crashGuard: asFunction(
          ({incarnation}: EntryCradle) =>
            new BlindCrashGuard({
              reporter: incarnation,
              quarantineCrashes: 2,
              countsOverlapping: true,
              sameCrashMs: 0,
            }),
        ).singleton(),
      });
    },
  },
};

function offerWhateverTheStoreTells({store, keeper}: EntryCradle): void {
  store.watch('manifest', {
    onValue: value => {
      const record = value && parseManifestRecord(value.value);
      if (record !== undefined) {
        keeper.offer(record, 'the store');
      }
    },
    onStart: () => {},
    onEnd: () => {},
  });
}

function registerDispatcher(
  Dispatcher: typeof RetryingDispatcher,
): ContainerChange {
  return container => {
    container.register({
      dispatcher: asFunction(
        (cradle: EntryCradle) =>
          new Dispatcher({
            clock: cradle.clock,
            registry: cradle.registry,
            retryBudget: cradle.retryBudget,
            crashGuard: cradle.crashGuard,
            suspectNotifier: cradle.suspectNotifier,
            onLeavingSignal: () => {},
          }),
      ).singleton(),
    });
  };
}
