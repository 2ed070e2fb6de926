/** Dependency injection container of an entry. Tests may replace its parts by registering others. */

import {OperatorServer, type Settings} from '@wasabidyke/operator';
import {createIncarnation} from '@wasabidyke/peer';
import type {Store} from '@wasabidyke/store';
import {
  CrashGuard,
  RetryBudget,
  SeededRandom,
  type RandomSource,
} from '@wasabidyke/policy';
import {
  MetricRegistry,
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
import {randomInt} from 'node:crypto';
import {registerControl} from './control-container.js';
import type {BudgetSlot} from './control/budget-slot.js';
import {
  DeparturePublisher,
  DepartureTracker,
} from './control/departure-tracker.js';
import {Departures} from './control/departures.js';
import type {EntryGroup} from './control/entry-group.js';
import {EntryList} from './control/entry-list.js';
import {EntryLifeCycle} from './control/entry-life-cycle.js';
import {LoadWatch} from './control/load-watch.js';
import {ManifestKeeper, type RevisionGuard} from './control/manifest-keeper.js';
import type {ManifestSource} from './control/manifest-source.js';
import type {MemberDirectory} from './control/member-directory.js';
import {OperatorFacade} from './control/operator-facade.js';
import {registerDataPath} from './data-path-container.js';
import {CallerListener} from './data-path/caller-listener.js';
import {SuspectNotifier} from './data-path/dispatch-job.js';
import {RequestDispatcher} from './data-path/dispatcher.js';
import {StopDeadline} from './control/stop-deadline.js';
import {RelayHandler} from './data-path/relay-handler.js';
import {AdoptedLedgers} from './at-most-once/adopted-ledgers.js';
import {HomeForwarder} from './at-most-once/home-forwarder.js';
import {HomeTokenIssuer, type IssueCounter} from './at-most-once/home-token.js';
import {AtMostOnceHandler} from './at-most-once/at-most-once-handler.js';
import type {Ledger} from './at-most-once/run-ledger.js';
import {registerPeers, type PeerCradle} from './peer-container.js';
import {UpstreamRegistry} from './upstreams/upstream-registry.js';

/** All parts of an entry, by the name under which the container creates and injects them. */
export interface EntryCradle extends PeerCradle {
  settings: Settings;
  operatorToken: string | undefined;
  incarnation: string;
  startedAt: Date;
  clock: Clock;
  stopDeadline: StopDeadline;
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
  atMostOnceHandler: AtMostOnceHandler;
  entryList: EntryList;
  callerListener: CallerListener;
  /** Whether this entry watches the platform on behalf of its region. */
  isWatcher: () => boolean;
  budgetSlot: BudgetSlot;
  loadWatch: LoadWatch;
  operatorFacade: OperatorFacade;
  operatorServer: OperatorServer;
}

/** Awilix container that creates the parts of an entry. */
export type EntryContainer = AwilixContainer<EntryCradle>;

/** Maximum number of events in the time line. */
const TIME_LINE_CAPACITY = 4_096;

const SEED_LIMIT = 2 ** 31;

/** Creates the container and registers every part of an entry. */
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
    stopDeadline: asFunction(
      ({clock}: EntryCradle) => new StopDeadline(clock),
    ).singleton(),
    random: asFunction(
      () => new SeededRandom(randomInt(SEED_LIMIT)),
    ).singleton(),
    metrics: asFunction(() => new MetricRegistry()).singleton(),
  });
  registerReporting(container);
  registerControl(container);
  registerDataPath(container);
  registerOperatorInterface(container);
  if (settings.peers !== undefined) {
    registerPeers(container);
  }
  return container;
}

function registerReporting(container: EntryContainer): void {
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

function registerOperatorInterface(container: EntryContainer): void {
  container.register({
    operatorFacade: asFunction(
      (cradle: EntryCradle) =>
        new OperatorFacade({
          settings: cradle.settings,
          incarnation: cradle.incarnation,
          startedAt: cradle.startedAt,
          stateReader: cradle.entryLifeCycle,
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
              message: `Internal error in the operator interface; report it as a bug: ${error.message}`,
            }),
        }),
    ).singleton(),
  });
}
