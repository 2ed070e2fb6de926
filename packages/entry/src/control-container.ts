/** Registers the parts that determine the manifest, the upstreams and the load-watch budget of an entry. */

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
import {StandaloneGroup} from './control/entry-group.js';
import {EntryList} from './control/entry-list.js';
import {LoadWatch} from './control/load-watch.js';
import {StandaloneDirectory} from './control/standalone-directory.js';
import {
  ManifestKeeper,
  MonotonicRevisionGuard,
} from './control/manifest-keeper.js';
import type {MemberDirectory} from './control/member-directory.js';
import {StoreManifestSource} from './control/store-manifest-source.js';
import {UpstreamRegistry} from './upstreams/upstream-registry.js';

/** Time limit for the complete answer of a call to the store. */
const STORE_CALL_TIMEOUT_MS = 2_000;

/** Maximum rate of one entry's calls to the store. */
const STORE_CALLS_PER_SECOND = 10;

/** How long a share of the load-watch budget stays taken after its holder has failed. */
const SLOT_TIME_TO_LIVE_SECONDS = 30;

/** Safety margin subtracted from the lease, as clocks run at different rates. */
const SLOT_MARGIN_MS = 1_000;

const SLOT_STEP_MS = 8_000;

/** How long a new number of slots must be settled before it is used. An entry that no other notifies has read the store or lost its lease by then. */
const SLOT_SETTLE_MS = 45_000;

/** Registers the control parts, in their form for an entry without peers. */
export function registerControl(container: EntryContainer): void {
  container.register({
    revisionGuard: asFunction(() => new MonotonicRevisionGuard()).singleton(),
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
    group: asFunction(() => new StandaloneGroup()).singleton(),
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
    directory: asFunction(createStandaloneDirectory).singleton(),
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
          onLeavingSignal: handle =>
            cradle.departureTracker.onLeavingSignal(handle),
          onLeavingCancelled: handle =>
            cradle.departureTracker.onLeavingCancelled(handle),
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

function createStandaloneDirectory(cradle: EntryCradle): MemberDirectory {
  return new StandaloneDirectory({
    entry: cradle.settings.name,
    incarnation: cradle.incarnation,
    region: cradle.settings.region,
    zone: cradle.settings.zone,
    callerAddress: cradle.settings.callers.address,
    issueCounter: cradle.issueCounter,
    stateReader: cradle.entryLifeCycle,
    keeper: cradle.keeper,
  });
}

/** Publishes nothing, as there are no other entries. */
class NoDeparturePublisher extends DeparturePublisher {
  override publishDeparture(): void {}
}
