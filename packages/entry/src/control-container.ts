/** Wires what decides which manifest, upstreams and budget are in force. */

import {
  EmbeddedStore,
  EtcdStore,
  NumberedLease,
  type Store,
} from '@wasabidyke/store';
import {asFunction, asValue} from 'awilix';
import type {EntryContainer, EntryCradle} from './container.js';
import {LeasedBudgetSlot, type BudgetSlot} from './control/budget-slot.js';
import {
  DeparturePublisher,
  DepartureTracker,
} from './control/departure-tracker.js';
import {Departures} from './control/departures.js';
import {LoneGroup} from './control/entry-group.js';
import {EntryList} from './control/entry-list.js';
import {LoadWatch} from './control/load-watch.js';
import {LoneDirectory} from './control/lone-directory.js';
import {
  ManifestKeeper,
  RisingRevisionGuard,
} from './control/manifest-keeper.js';
import type {MemberDirectory} from './control/member-directory.js';
import {StoreManifestSource} from './control/store-manifest-source.js';
import {UpstreamRegistry} from './upstreams/upstream-registry.js';

/** Time until a call's answer must be whole. */
const STORE_CALL_TIMEOUT_MS = 2_000;

/** Calls to the store that one entry may make. */
const STORE_CALLS_PER_SECOND = 10;

/** How long a part of the load-watch budget outlives its holder. */
const SLOT_TIME_TO_LIVE_SECONDS = 30;

/** Taken off the lease, for clocks that run at different rates. */
const SLOT_MARGIN_MS = 1_000;

const SLOT_STEP_MS = 8_000;

/** An entry that hears of nothing has read the store or lost its lease by then. */
const SLOT_SETTLE_MS = 45_000;

/** Registers the parts that decide what is in force and who is there. */
export function registerControl(container: EntryContainer): void {
  container.register({
    revisionGuard: asFunction(() => new RisingRevisionGuard()).singleton(),
    keeper: asFunction(
      ({revisionGuard, metrics, reporter}: EntryCradle) =>
        new ManifestKeeper({guard: revisionGuard, metrics, reporter}),
    ).singleton(),
    store: asFunction(createStore).singleton(),
    source: asFunction(
      ({store, keeper, isWatcher, clock, metrics, reporter}: EntryCradle) =>
        new StoreManifestSource({
          store,
          keeper,
          isWatcher,
          clock,
          metrics,
          reporter,
        }),
    ).singleton(),
    departures: asFunction(() => new Departures()).singleton(),
    departurePublisher: asFunction(
      () => new NoDeparturePublisher(),
    ).singleton(),
    departureTracker: asFunction(
      ({departures, registry, departurePublisher, reporter}: EntryCradle) =>
        new DepartureTracker({
          departures,
          registry,
          publisher: departurePublisher,
          reporter,
        }),
    ).singleton(),
    group: asFunction(() => new LoneGroup()).singleton(),
    registry: asFunction(
      ({settings, clock, random, reporter, departures}: EntryCradle) =>
        new UpstreamRegistry({
          location: settings,
          clock,
          random,
          reporter,
          leaving: departures,
        }),
    ).singleton(),
    directory: asFunction(createLoneDirectory).singleton(),
    entryList: asFunction(
      ({directory, random}: EntryCradle) => new EntryList(directory, random),
    ).singleton(),
    isWatcher: asValue(() => true),
    budgetSlot: asFunction(createBudgetSlot).singleton(),
    loadWatch: asFunction(
      (cradle: EntryCradle) =>
        new LoadWatch({
          keeper: cradle.keeper,
          registry: cradle.registry,
          slot: cradle.budgetSlot,
          clock: cradle.clock,
          random: cradle.random,
          metrics: cradle.metrics,
          onLeavingSignal: handle => cradle.departureTracker.onSignal(handle),
          onReturn: handle => cradle.departureTracker.onReturn(handle),
        }),
    ).singleton(),
  });
}

function createStore({settings, metrics, clock}: EntryCradle): Store {
  const {platform} = settings;
  if (platform.kind === 'embedded') {
    return new EmbeddedStore(clock);
  }
  return new EtcdStore({
    endpoints: platform.endpoints,
    prefix: platform.prefix.replace(/\/*$/, '/'),
    callTimeoutMs: STORE_CALL_TIMEOUT_MS,
    callsPerSecond: STORE_CALLS_PER_SECOND,
    metrics,
    clock,
  });
}

function createBudgetSlot(cradle: EntryCradle): BudgetSlot {
  const {store, clock, metrics, reporter, settings, incarnation} = cradle;
  const lease = new NumberedLease({
    store,
    clock,
    name: 'load-watch',
    holder: `${settings.name}.${incarnation}`,
    timeToLiveSeconds: SLOT_TIME_TO_LIVE_SECONDS,
    marginMs: SLOT_MARGIN_MS,
    stepMs: SLOT_STEP_MS,
    settleMs: settings.platform.kind === 'embedded' ? 0 : SLOT_SETTLE_MS,
    metrics,
    reporter,
  });
  return new LeasedBudgetSlot(lease, cradle.keeper, cradle.directory);
}

function createLoneDirectory(cradle: EntryCradle): MemberDirectory {
  return new LoneDirectory({
    entry: cradle.settings.name,
    incarnation: cradle.incarnation,
    region: cradle.settings.region,
    zone: cradle.settings.zone,
    callerAddress: cradle.settings.callers.address,
    issueCounter: cradle.issueCounter,
    state: cradle.entryLifeCycle,
    keeper: cradle.keeper,
  });
}

/** There are no other entries to tell. */
class NoDeparturePublisher extends DeparturePublisher {
  override publishDeparture(): void {}
}
