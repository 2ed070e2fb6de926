/** A balancer process: its components, startup and graceful shutdown. */

import {randomInt} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  LivenessTracker,
  SeededRandom,
  type RandomSource,
  type TokenBucket,
} from '@wasabidyke/policy';
import {MetricRegistry, SystemClock, type Clock} from '@wasabidyke/shared';
import {registerGauges} from './balancer-gauges.js';
import {regionsOf, type BalancerSettings} from './balancer-settings.js';
import {ClusterState} from './cluster-state.js';
import {EntryShare} from './entry-share.js';
import {EntryClient} from './feed/entry-client.js';
import {FollowerRecordStore} from './feed/follower-record-store.js';
import {FeedServer} from './feed/feed-server.js';
import {RecordHistory} from './feed/record-history.js';
import {createLoadQueryBudget} from './load-query-budget.js';
import {LimitNotifier} from './limits/limit-notifier.js';
import {EntryMonitor} from './members/entry-monitor.js';
import {EntryRoster} from './members/entry-roster.js';
import {toOwnRecord} from './members/own-record.js';
import {Placement} from './members/placement.js';
import {toLocality, UpstreamRegistry} from './members/upstream-registry.js';
import {QuotaParts} from './quotas/quota-parts.js';
import {RelayReceiver} from './relay/relay-receiver.js';
import {RelaySender} from './relay/relay-sender.js';
import type {DecisionLog} from './reporting/decision-log.js';
import {OwnAnswers} from './reporting/own-answers.js';
import {createUpstreamReports} from './reporting/upstream-reports.js';
import type {SiteAdapters} from './site-adapters.js';
import {createBodyMemory} from './serving/body-reader.js';
import {CallerServer} from './serving/caller-server.js';
import {UpstreamSelector} from './serving/upstream-selector.js';
import {DiscoveryServer} from './serving/discovery-server.js';
import {RouteState} from './serving/route-state.js';
import {DRAINING_SHARE, EXIT_MARGIN_MS, LAST_ANSWERS_MS} from './stop-times.js';
import {EntryAnnouncer} from './store/entry-announcer.js';
import {StoreWatcher} from './store/store-watcher.js';
import {SuspectParts} from './suspects/suspect-parts.js';

/** Lifecycle states of a balancer. */
export type BalancerState = 'starting' | 'serving' | 'stopping' | 'stopped';

/** Time between removals of vanished records and updates of the load query rate, in milliseconds. */
const TICK_INTERVAL_MS = 250;

const SEED_BOUND = 2 ** 31;

/** A balancer process. */
export class Balancer {
  #settings: BalancerSettings;
  readonly #site: SiteAdapters;
  readonly #log: DecisionLog;
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #liveness: LivenessTracker;
  readonly #entryClient = new EntryClient();
  readonly #entries: EntryRoster;
  readonly #entryMonitor: EntryMonitor;
  readonly #placement: Placement;
  readonly #registry: UpstreamRegistry;
  readonly #entryShare = new EntryShare({
    settings: () => this.#settings,
    table: () => this.#clusterState.table,
    entries: () => this.#entries.size,
    upstreams: () => this.#registry.size,
  });
  readonly #clusterState: ClusterState;
  readonly #history = new RecordHistory();
  readonly #store: FollowerRecordStore;
  readonly #limitNotifier: LimitNotifier;
  readonly #quotas: QuotaParts;
  readonly #feedServer: FeedServer;
  readonly #storeWatcher: StoreWatcher;
  readonly #announcer: EntryAnnouncer;
  readonly #suspects: SuspectParts;
  readonly #loadQueryBudget: TokenBucket;
  readonly #upstreamSelector: UpstreamSelector;
  readonly #relaySender: RelaySender;
  readonly #callerServer: CallerServer;
  readonly #relayReceiver: RelayReceiver;
  readonly #discoveryServer: DiscoveryServer;
  #state: BalancerState = 'starting';
  #endsAtMs = Infinity;
  #stopping: Promise<void> | undefined;
  #tickTimer: NodeJS.Timeout | undefined;

  constructor(
    settings: BalancerSettings,
    site: SiteAdapters,
    log: DecisionLog,
    metrics = new MetricRegistry(),
    clock: Clock = new SystemClock(),
  ) {
    this.#settings = settings;
    this.#site = site;
    this.#log = log;
    this.#clock = clock;
    this.#random = new SeededRandom(randomInt(SEED_BOUND));
    const ownRecord = toOwnRecord(settings);
    const origin = () => this.#store.origin;
    const ownAnswers = new OwnAnswers({metrics, log, clock, origin});
    this.#liveness = new LivenessTracker(
      {...ownRecord, sequence: Math.round(clock.wallTime())},
      this.#random,
    );
    this.#entries = new EntryRoster(ownRecord, this.#liveness);
    this.#entryMonitor = new EntryMonitor({
      tracker: this.#liveness,
      peers: () => this.#entries.listPeers(),
      client: this.#entryClient,
      onAsk: name => this.#quotas.onAsk(name),
      clock,
      log,
    });
    this.#store = new FollowerRecordStore({
      store: site.store,
      feeders: () => this.#entries.listFeeders(),
      isFeeding: () => this.#feedServer.isFeeding,
      isNoEntryAnnounced: () => this.#entries.isEmpty,
      onDepartures: departures => this.#clusterState.onDepartures(departures),
      clock,
      random: this.#random,
      log,
    });
    this.#suspects = new SuspectParts({
      entry: settings.name,
      store: this.#store,
      history: this.#history,
      client: this.#entryClient,
      peers: () => this.#entries.listPeers(),
      responsivePeers: () => this.#entries.listResponsivePeers(),
      registry: () => this.#registry,
      loadPath: service =>
        this.#clusterState.table?.findService(service)?.loadPath ?? '/',
      random: this.#random,
      clock,
      log,
    });
    this.#limitNotifier = new LimitNotifier({
      registry: () => this.#registry,
      client: this.#entryClient,
      drawListeners: () => this.#entryMonitor.drawListeners(),
      clock,
      log,
    });
    this.#quotas = new QuotaParts({
      settings: () => this.#settings,
      own: ownRecord,
      roster: this.#entries,
      table: () => this.#clusterState.table,
      storeAgeMs: () => this.#store.ageMs,
      metrics,
      clock,
      random: this.#random,
      log,
    });
    this.#feedServer = new FeedServer({
      onFault: error => log.record('message.fault', {cause: String(error)}),
      ownAnswers,
      history: this.#history,
      departures: () => this.#clusterState.departures,
      onSuspect: record => this.#suspects.monitor.onRecord(record),
      liveness: this.#entryMonitor,
      onUpstreamCheck: message =>
        this.#suspects.upstreamCheck.onMessage(message),
      onLimits: message => this.#limitNotifier.onMessage(message),
      quotas: this.#quotas,
      relay: {
        serve: (request, response) =>
          this.#relayReceiver.serve(request, response),
      },
      ageMs: () => (this.#storeWatcher.isLost ? Infinity : this.#store.ageMs),
    });
    this.#placement = new Placement({
      settings,
      log,
      onTakenBack: zone => this.#registry.onZoneTakenBack(zone),
    });
    this.#registry = this.#createRegistry();
    this.#clusterState = new ClusterState({
      decoder: site.decoder,
      history: this.#history,
      entries: this.#entries,
      registry: this.#registry,
      placement: this.#placement,
      crashMonitor: this.#suspects.monitor,
      onReplaced: record => this.#suspects.processWatch.onReplaced(record),
      clock,
      log,
      origin,
      regions: () => regionsOf(this.#settings),
      onTable: table => {
        this.#callerServer.applyLimits(table.limits);
        this.#registry.applyWarmUps();
        this.#onConfigured();
      },
    });
    this.#storeWatcher = new StoreWatcher({
      store: this.#store,
      listener: this.#clusterState,
      clock,
    });
    this.#announcer = new EntryAnnouncer({
      store: this.#store,
      record: () => ({...ownRecord, sequence: this.#liveness.own.sequence}),
      clock,
      random: this.#random,
      log,
    });
    this.#loadQueryBudget = createLoadQueryBudget(clock.now());
    this.#upstreamSelector = new UpstreamSelector({
      registry: this.#registry,
      placement: this.#placement,
      clock,
      random: this.#random,
      costs: settings.transferCosts,
      queryBudget: this.#loadQueryBudget,
    });
    this.#relaySender = new RelaySender({
      peers: () => this.#entries.listResponsivePeers(),
      locality: () => toLocality(this.#settings),
      memory: this.#registry.answerMemory,
      clock,
      random: this.#random,
      log,
    });
    const dispatching = {...this.#createDispatcherOptions(), ownAnswers};
    this.#callerServer = new CallerServer({...dispatching, metrics});
    this.#relayReceiver = new RelayReceiver({
      ...dispatching,
      isEntry: address => this.#entries.isPeerAddress(address),
      inFlight: () => this.#callerServer.inFlight,
    });
    this.#discoveryServer = new DiscoveryServer({
      protocol: site.discoveryProtocol,
      roster: this.#entries,
      metrics,
      ownAnswers,
      maximumAgeMs: settings.entryListAge,
      isReady: () => this.#state === 'serving',
      table: () => this.#clusterState.table,
    });
    registerGauges(metrics, {
      clock,
      storeWatcher: this.#storeWatcher,
      store: this.#store,
      clusterState: this.#clusterState,
      registry: this.#registry,
      entries: this.#entries,
      evacuations: this.#placement.evacuations,
      liveness: this.#liveness,
      suspects: this.#suspects,
      routeState: dispatching.routeState,
    });
  }

  /** Opens the listeners and starts to watch the store. @throws When a listener can't bind its address. */
  async start(): Promise<void> {
    const {callers, entries, readiness, metrics, feed} = this.#settings.listen;
    this.#storeWatcher.start();
    await this.#callerServer.listen(callers.host, callers.port);
    await this.#discoveryServer.listen([entries, readiness, metrics]);
    await this.#feedServer.listen(feed);
    this.#entryMonitor.start();
    this.#quotas.start();
    this.#tickTimer = setInterval(() => this.#onTick(), TICK_INTERVAL_MS);
    this.#log.record('process.started', {
      address: callers.text,
      zone: this.#settings.zone,
      startMs: Math.round(performance.now()),
    });
  }

  /** Applies changed settings. Changed addresses take effect at the next start. */
  applySettings(settings: BalancerSettings): void {
    this.#settings = settings;
    this.#placement.applySettings(settings);
    this.#upstreamSelector.applyCosts(settings.transferCosts);
    this.#discoveryServer.applyMaximumAge(settings.entryListAge);
  }

  /**
   * Shuts down gracefully: callers move to other entries first, so that no
   * request is cut off. Further calls wait for the end of the first.
   */
  stop(): Promise<void> {
    this.#stopping ??= this.#stop();
    return this.#stopping;
  }

  async #stop(): Promise<void> {
    const withinMs = this.#settings.stopWithin - EXIT_MARGIN_MS;
    this.#endsAtMs = this.#clock.now() + withinMs;
    this.#state = 'stopping';
    this.#log.record('process.stopping', {
      inFlight: this.#callerServer.inFlight,
    });
    this.#entries.unlistSelf();
    this.#entryMonitor.leave();
    this.#quotas.leave();
    this.#callerServer.closeConnections();
    const withdrawn = this.#announcer.stop(withinMs);
    await sleep(this.#settings.stopWithin * DRAINING_SHARE);
    const remainingMs = this.#endsAtMs - this.#clock.now();
    const finished = Promise.all([
      this.#callerServer.stop(),
      this.#relayReceiver.stop(),
      withdrawn,
    ]);
    await Promise.race([finished, sleep(remainingMs)]);
    this.#callerServer.expire();
    await Promise.race([finished, sleep(LAST_ANSWERS_MS)]);
    this.#storeWatcher.stop();
    this.#entryMonitor.stop();
    this.#quotas.stop();
    this.#suspects.announcer.stop();
    this.#suspects.processWatch.stop();
    clearInterval(this.#tickTimer);
    this.#discoveryServer.close();
    this.#registry.close();
    this.#relaySender.close();
    this.#feedServer.close();
    await this.#store.close();
    this.#state = 'stopped';
    this.#log.record('process.stopped', {
      inFlight: this.#callerServer.inFlight,
    });
    this.#log.flush();
  }

  #onConfigured(): void {
    if (this.#state === 'starting') {
      this.#state = 'serving';
      this.#liveness.join();
      void this.#announcer.run();
      this.#log.record('process.serving', {
        version: this.#clusterState.table?.version,
      });
    }
  }

  #onTick(): void {
    const nowMs = this.#clock.now();
    this.#clusterState.onTick(nowMs);
    this.#registry.applyEntries(this.#entries.listUp(), nowMs);
    this.#loadQueryBudget.applyRate(
      this.#entryShare.loadQueriesPerSecond,
      nowMs,
    );
  }

  #createRegistry(): UpstreamRegistry {
    return new UpstreamRegistry({
      entry: this.#settings.name,
      locality: toLocality(this.#settings),
      protocol: this.#site.wireProtocol,
      clock: this.#clock,
      random: this.#random,
      onLimit: (handle, source) => this.#limitNotifier.onChange(handle, source),
      connectionLimit: service => this.#entryShare.connectionLimit(service),
      onHeard: handle => this.#suspects.processWatch.onHeard(handle),
      onConnectionLost: handle =>
        this.#suspects.processWatch.onConnectionLost(handle),
      onLeaving: record => this.#clusterState.onUpstreamLeaving(record),
      warmUp: name => this.#clusterState.table?.findService(name)?.warmUp,
      ...createUpstreamReports(this.#log, this.#clock),
    });
  }

  #createDispatcherOptions() {
    const routeState = new RouteState({
      random: this.#random,
      repeatBudgetOptions: () => this.#entryShare.repeats,
      admitsByValue: service => this.#entryShare.admitsByValue(service),
    });
    return {
      selector: this.#upstreamSelector,
      routeState,
      registry: this.#registry,
      placement: this.#placement,
      protocol: this.#site.wireProtocol,
      clock: this.#clock,
      random: this.#random,
      log: this.#log,
      crashMonitor: this.#suspects.monitor,
      processWatch: this.#suspects.processWatch,
      relay: this.#relaySender,
      quotas: this.#quotas.gate,
      bodyMemory: createBodyMemory(),
      endsAtMs: () => this.#endsAtMs,
      table: () => this.#clusterState.table,
      isTableNewest: () => this.#clusterState.isTableNewest,
    };
  }
}
