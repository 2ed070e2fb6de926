/** Wires the parts of an entry. Tests may register others in their place. */

import {randomInt} from 'node:crypto';
import {OperatorServer, type Settings} from '@wasabidyke/operator';
import {createIncarnation} from '@wasabidyke/peer';
import {
  EmbeddedStore,
  EtcdStore,
  NumberedLease,
  type Store,
} from '@wasabidyke/platform';
import {
  CrashGuard,
  RetryBudget,
  SeededRandom,
  type RandomSource,
} from '@wasabidyke/policy';
import {
  MetricRegistry,
  MINUTE_MS,
  Reporter,
  SystemClock,
  TimeLine,
  type Clock,
} from '@wasabidyke/shared';
import {
  asFunction,
  asValue,
  createContainer,
  InjectionMode,
  type AwilixContainer,
} from 'awilix';
import {
  DeparturePublisher,
  DepartureTracker,
} from './control/departure-tracker.js';
import {Departures} from './control/departures.js';
import {LoneGroup, type EntryGroup} from './control/entry-group.js';
import {registerPeers, type PeerCradle} from './peer-container.js';
import {EntryList} from './control/entry-list.js';
import {EntryLifeCycle} from './control/entry-state.js';
import {LeasedBudgetSlot, type BudgetSlot} from './control/budget-slot.js';
import {LoadWatch} from './control/load-watch.js';
import {LoneDirectory} from './control/lone-directory.js';
import {
  ManifestKeeper,
  RisingRevisionGuard,
  type RevisionGuard,
} from './control/manifest-keeper.js';
import type {ManifestSource} from './control/manifest-source.js';
import type {MemberDirectory} from './control/member-directory.js';
import {OperatorFacade} from './control/operator-facade.js';
import {StoreManifestSource} from './control/store-manifest-source.js';
import {CallerListener} from './data-path/caller-listener.js';
import {RequestDispatcher, SuspectNotifier} from './data-path/dispatcher.js';
import {RelayHandler} from './data-path/relay-handler.js';
import {AdoptedLedgers} from './once/adopted-ledgers.js';
import {HomeForwarder} from './once/home-forwarder.js';
import {
  ClockIssueCounter,
  HomeTokenIssuer,
  type IssueCounter,
} from './once/home-token.js';
import {OnceHandler} from './once/once-handler.js';
import {RunLedger, type Ledger} from './once/run-ledger.js';
import {UpstreamRegistry} from './upstreams/upstream-registry.js';

/** Everything that an entry is made of. */
export interface EntryCradle extends PeerCradle {
  settings: Settings;
  operatorToken: string | undefined;
  incarnation: string;
  startedAt: Date;
  clock: Clock;
  random: RandomSource;
  metrics: MetricRegistry;
  timeLine: TimeLine;
  reporter: Reporter;
  entryLifeCycle: EntryLifeCycle;
  revisionGuard: RevisionGuard;
  keeper: ManifestKeeper;
  store: Store;
  source: ManifestSource;
  departures: Departures;
  departurePublisher: DeparturePublisher;
  departureTracker: DepartureTracker;
  group: EntryGroup;
  registry: UpstreamRegistry;
  retryBudget: RetryBudget;
  crashGuard: CrashGuard;
  suspectNotifier: SuspectNotifier;
  dispatcher: RequestDispatcher;
  issueCounter: IssueCounter;
  issuer: HomeTokenIssuer;
  ledger: Ledger;
  adopted: AdoptedLedgers;
  directory: MemberDirectory;
  forwarder: HomeForwarder;
  relayHandler: RelayHandler;
  onceHandler: OnceHandler;
  entryList: EntryList;
  callerListener: CallerListener;
  /** Whether this entry watches the platform for its region. */
  isWatcher: () => boolean;
  budgetSlot: BudgetSlot;
  loadWatch: LoadWatch;
  operatorFacade: OperatorFacade;
  operatorServer: OperatorServer;
}

/** The container of an entry. */
export type EntryContainer = AwilixContainer<EntryCradle>;

/** Events that a process keeps for its time line. */
const TIME_LINE_CAPACITY = 4_096;

/** How long an idempotency key may be used after its token was issued. */
const KEY_LIFETIME_MS = 10 * MINUTE_MS;

/** Keys that one ledger holds at most. */
const MAXIMUM_RUNS = 100_000;

/** Bytes of answers that one ledger keeps at most. */
const MAXIMUM_LEDGER_BYTES = 67_108_864;

/** Share of requests that may be retried before a manifest says. */
const DEFAULT_RETRY_SHARE = 0.1;

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

const SEED_BOUND = 2 ** 31;

/** Wires an entry. */
export function createEntryContainer(
  settings: Settings,
  operatorToken: string | undefined,
): EntryContainer {
  const container = createContainer<EntryCradle>({
    injectionMode: InjectionMode.PROXY,
    strict: true,
  });
  container.register({
    settings: asValue(settings),
    operatorToken: asValue(operatorToken),
    incarnation: asValue(createIncarnation()),
    startedAt: asValue(new Date()),
    clock: asFunction(() => new SystemClock()).singleton(),
    random: asFunction(
      () => new SeededRandom(randomInt(SEED_BOUND)),
    ).singleton(),
    metrics: asFunction(() => new MetricRegistry()).singleton(),
  });
  registerReports(container);
  registerControl(container);
  registerDataPath(container);
  registerOperators(container);
  if (settings.peers !== undefined) {
    registerPeers(container);
  }
  return container;
}

function registerReports(container: EntryContainer): void {
  container.register({
    timeLine: asFunction(
      ({settings, clock}: EntryCradle) =>
        new TimeLine(settings.name, clock, TIME_LINE_CAPACITY),
    ).singleton(),
    reporter: asFunction(
      ({settings, timeLine}: EntryCradle) =>
        new Reporter(timeLine, settings.log.format),
    ).singleton(),
    entryLifeCycle: asFunction(
      ({settings, reporter}: EntryCradle) =>
        new EntryLifeCycle(settings.name, reporter),
    ).singleton(),
  });
}

function registerControl(container: EntryContainer): void {
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

function registerDataPath(container: EntryContainer): void {
  container.register({
    retryBudget: asFunction(
      () => new RetryBudget(DEFAULT_RETRY_SHARE),
    ).singleton(),
    crashGuard: asFunction(() => new CrashGuard()).singleton(),
    suspectNotifier: asFunction(() => new NoSuspectNotifier()).singleton(),
    dispatcher: asFunction(
      (cradle: EntryCradle) =>
        new RequestDispatcher({
          clock: cradle.clock,
          registry: cradle.registry,
          retryBudget: cradle.retryBudget,
          crashGuard: cradle.crashGuard,
          suspectNotifier: cradle.suspectNotifier,
          onLeavingSignal: handle => cradle.departureTracker.onSignal(handle),
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
    onceHandler: asFunction(
      ({issuer, ledger, adopted, forwarder, dispatcher, clock}: EntryCradle) =>
        new OnceHandler({
          issuer,
          ledger,
          adopted,
          forwarder,
          dispatcher,
          clock,
        }),
    ).singleton(),
    callerListener: asFunction(
      (cradle: EntryCradle) =>
        new CallerListener({
          address: cradle.settings.callers.address,
          keeper: cradle.keeper,
          entryList: cradle.entryList,
          relayHandler: cradle.relayHandler,
          onceHandler: cradle.onceHandler,
          clock: cradle.clock,
          metrics: cradle.metrics,
        }),
    ).singleton(),
  });
}

function registerOperators(container: EntryContainer): void {
  container.register({
    operatorFacade: asFunction(
      (cradle: EntryCradle) =>
        new OperatorFacade({
          settings: cradle.settings,
          incarnation: cradle.incarnation,
          startedAt: cradle.startedAt,
          state: cradle.entryLifeCycle,
          keeper: cradle.keeper,
          source: cradle.source,
          directory: cradle.directory,
          registry: cradle.registry,
          loadWatch: cradle.loadWatch,
          timeLine: cradle.timeLine,
          metrics: cradle.metrics,
          clock: cradle.clock,
        }),
    ).singleton(),
    operatorServer: asFunction(
      ({settings, operatorToken, operatorFacade, reporter}: EntryCradle) =>
        new OperatorServer({
          address: settings.operators.address,
          token: operatorToken,
          service: operatorFacade,
          onError: error =>
            reporter.report({
              level: 'error',
              code: 'operators.failed',
              subject: settings.name,
              message: `Report this as a fault: ${error.message}`,
            }),
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
    settleMs: SLOT_SETTLE_MS,
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

/** There are no other entries to tell. */
class NoSuspectNotifier extends SuspectNotifier {
  override async notify(): Promise<void> {}
}
