/** Registers the parts that handle callers' requests. */

import {MINUTE_MS} from '@wasabidyke/shared';
import {CrashGuard, RetryBudget} from '@wasabidyke/policy';
import {asFunction} from 'awilix';
import type {EntryContainer, EntryCradle} from './container.js';
import {CallerListener} from './data-path/caller-listener.js';
import {SuspectNotifier} from './data-path/dispatch-job.js';
import {RequestDispatcher} from './data-path/dispatcher.js';
import {RelayHandler} from './data-path/relay-handler.js';
import {AdoptedLedgers} from './at-most-once/adopted-ledgers.js';
import {HomeForwarder} from './at-most-once/home-forwarder.js';
import {ClockIssueCounter, HomeTokenIssuer} from './at-most-once/home-token.js';
import {AtMostOnceHandler} from './at-most-once/at-most-once-handler.js';
import {RunLedger} from './at-most-once/run-ledger.js';

/** How long an idempotency key may be used after its token was issued. */
const KEY_LIFETIME_MS = 10 * MINUTE_MS;

/** Maximum number of keys in one ledger. */
const MAXIMUM_RUNS = 100_000;

/** Maximum size of all answers kept in one ledger, in bytes. */
const MAXIMUM_LEDGER_BYTES = 67_108_864;

/** Share of requests that may be retried until a manifest sets one. */
const DEFAULT_RETRY_SHARE = 0.1;

/** Upstreams that one request may crash: the promise of the product. */
const QUARANTINE_CRASHES = 2;

/** Time for reports of one crash to reach this entry, in milliseconds: several times what other entries get to acknowledge a suspect. An upstream may crash again later at the same address. */
const SAME_CRASH_MS = 1_000;

/** Registers the data path, in its form for an entry without peers. */
export function registerDataPath(container: EntryContainer): void {
  container.register({
    retryBudget: asFunction(
      () => new RetryBudget(DEFAULT_RETRY_SHARE),
    ).singleton(),
    crashGuard: asFunction(
      ({incarnation}: EntryCradle) =>
        new CrashGuard({
          reporter: incarnation,
          quarantineCrashes: QUARANTINE_CRASHES,
          // A request that is hedged may crash both upstreams at once.
          countsOverlapping: true,
          sameCrashMs: SAME_CRASH_MS,
        }),
    ).singleton(),
    suspectNotifier: asFunction(() => new NoSuspectNotifier()).singleton(),
    dispatcher: asFunction(
      (cradle: EntryCradle) =>
        new RequestDispatcher({
          clock: cradle.clock,
          registry: cradle.registry,
          retryBudget: cradle.retryBudget,
          crashGuard: cradle.crashGuard,
          suspectNotifier: cradle.suspectNotifier,
          onLeavingSignal: handle =>
            cradle.departureTracker.onLeavingSignal(handle),
        }),
    ).singleton(),
    issueCounter: asFunction(
      ({clock}: EntryCradle) => new ClockIssueCounter(clock),
    ).singleton(),
    issuer: asFunction(
      ({settings, incarnation, issueCounter}: EntryCradle) =>
        new HomeTokenIssuer(
          settings.name,
          incarnation,
          KEY_LIFETIME_MS,
          issueCounter,
        ),
    ).singleton(),
    ledger: asFunction(
      ({issuer}: EntryCradle) =>
        new RunLedger(issuer, {
          maximumRuns: MAXIMUM_RUNS,
          maximumBytes: MAXIMUM_LEDGER_BYTES,
        }),
    ).singleton(),
    adopted: asFunction(
      ({clock}: EntryCradle) => new AdoptedLedgers(clock),
    ).singleton(),
    forwarder: asFunction(
      ({settings, directory, clock}: EntryCradle) =>
        new HomeForwarder({entry: settings.name, directory, clock}),
    ).singleton(),
    relayHandler: asFunction(
      ({dispatcher, clock}: EntryCradle) => new RelayHandler(dispatcher, clock),
    ).singleton(),
    atMostOnceHandler: asFunction(
      (cradle: EntryCradle) =>
        new AtMostOnceHandler({
          issuer: cradle.issuer,
          ledger: cradle.ledger,
          adopted: cradle.adopted,
          forwarder: cradle.forwarder,
          dispatcher: cradle.dispatcher,
          clock: cradle.clock,
          stopDeadline: cradle.stopDeadline,
        }),
    ).singleton(),
    callerListener: asFunction(
      (cradle: EntryCradle) =>
        new CallerListener({
          address: cradle.settings.callers.address,
          keeper: cradle.keeper,
          entryList: cradle.entryList,
          relayHandler: cradle.relayHandler,
          atMostOnceHandler: cradle.atMostOnceHandler,
          clock: cradle.clock,
          stopDeadline: cradle.stopDeadline,
          metrics: cradle.metrics,
        }),
    ).singleton(),
  });
}

/** Notifies no one, as there are no other entries. */
class NoSuspectNotifier extends SuspectNotifier {
  override async notify(): Promise<void> {}
}
