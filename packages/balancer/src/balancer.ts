/** A balancer process: its parts, its start and its planned stop. */

import {randomInt} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  SeededRandom,
  TokenBucket,
  type Distance,
  type RandomSource,
} from '@wasabidyke/policy';
import {MetricRegistry, SystemClock, type Clock} from '@wasabidyke/shared';
import type {BalancerSettings} from './balancer-settings.js';
import {Beliefs} from './beliefs.js';
import type {WireProtocol} from './exchange/wire-protocol.js';
import {FedRecordStore} from './feed/fed-record-store.js';
import {FeedServer} from './feed/feed-server.js';
import {RecordHistory} from './feed/record-history.js';
import {EntryRoster} from './members/entry-roster.js';
import {UpstreamRegistry} from './members/upstream-registry.js';
import type {DecisionLog} from './reporting/decision-log.js';
import {CallerServer} from './serving/caller-server.js';
import {Chooser} from './serving/chooser.js';
import type {DiscoveryProtocol} from './serving/discovery-protocol.js';
import {DiscoveryServer} from './serving/discovery-server.js';
import {RouteMemory} from './serving/route-memory.js';
import {EntryPresence} from './store/entry-presence.js';
import type {RecordDecoder} from './store/record-decoder.js';
import type {RecordStore} from './store/record-store.js';
import {StoreView} from './store/store-view.js';

/** What a site brings: its store, and how its messages are read. */
export interface SiteParts {
  readonly store: RecordStore;
  readonly decoder: RecordDecoder;
  readonly wireProtocol: WireProtocol;
  readonly discoveryProtocol: DiscoveryProtocol;
}

/** States of a balancer. */
export type BalancerState = 'starting' | 'serving' | 'stopping' | 'stopped';

/** Round trips by distance, in milliseconds. Source: the sites' distances of about 1 and 20 milliseconds one way. */
const ROUND_TRIPS_MS: Readonly<Record<Distance, number>> = {
  'same-zone': 0.5,
  'same-region': 2.5,
  'other-region': 41,
};

/** How often what is missing is looked through, in milliseconds. */
const PERIOD_MS = 250;

/** Share of the time to stop in which callers with an older list are still served. */
const SERVING_SHARE = 0.5;

/** Time before the end by which the process ends by itself, in milliseconds. */
const END_MARGIN_MS = 400;

/** Share of the allowed load queries that are made. */
const QUERY_SHARE = 0.8;

/** Load queries that may be saved up, in milliseconds of the rate. */
const QUERY_SAVING_MS = 2_000;

/** Connections to an upstream that each entry may open beyond its part: not all entries use all upstreams. */
const CONNECTION_SHARE = 0.9;

/** Entries that may join beside those that are known. */
const JOINING_SHARE = 1.4;

const FEWEST_CONNECTIONS = 2;
const SEED_BOUND = 2 ** 31;

/** A balancer process. */
export class Balancer {
  #settings: BalancerSettings;
  readonly #site: SiteParts;
  readonly #log: DecisionLog;
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #entries: EntryRoster;
  readonly #registry: UpstreamRegistry;
  readonly #beliefs: Beliefs;
  readonly #history: RecordHistory;
  readonly #store: FedRecordStore;
  readonly #feed: FeedServer;
  readonly #view: StoreView;
  readonly #presence: EntryPresence;
  readonly #queryBudget: TokenBucket;
  readonly #chooser: Chooser;
  readonly #callers: CallerServer;
  readonly #discovery: DiscoveryServer;
  #state: BalancerState = 'starting';
  #periodTimer: NodeJS.Timeout | undefined;

  constructor(
    settings: BalancerSettings,
    site: SiteParts,
    log: DecisionLog,
    metrics = new MetricRegistry(),
    clock: Clock = new SystemClock(),
  ) {
    this.#settings = settings;
    this.#site = site;
    this.#log = log;
    this.#clock = clock;
    this.#random = new SeededRandom(randomInt(SEED_BOUND));
    const self = {
      feedAddress: settings.listen.feed.text,
      name: settings.name,
      address: settings.listen.callers.text,
      region: settings.region,
      zone: settings.zone,
    };
    this.#entries = new EntryRoster(self);
    this.#history = new RecordHistory();
    this.#store = new FedRecordStore({
      store: site.store,
      feeders: () => this.#entries.listFeeders(),
      isFirst: () => this.#entries.isEmpty,
      clock,
      random: this.#random,
      log,
    });
    this.#feed = new FeedServer({
      history: this.#history,
      ageMs: () => (this.#view.isLost ? Infinity : this.#store.ageMs),
    });
    this.#registry = this.#createRegistry();
    this.#beliefs = new Beliefs({
      decoder: site.decoder,
      history: this.#history,
      entries: this.#entries,
      registry: this.#registry,
      clock,
      log,
      onTable: table => {
        this.#callers.applyLimits(table.limits);
        this.#onConfigured();
      },
    });
    this.#view = new StoreView({
      store: this.#store,
      listener: this.#beliefs,
      clock,
    });
    this.#presence = new EntryPresence(this.#store, self);
    this.#queryBudget = new TokenBucket({
      ratePerSecond: 0,
      capacityMs: QUERY_SAVING_MS,
      minimumCapacity: 1,
      nowMs: clock.now(),
    });
    this.#chooser = this.#createChooser();
    this.#callers = this.#createCallers(metrics);
    this.#discovery = new DiscoveryServer({
      protocol: site.discoveryProtocol,
      roster: this.#entries,
      metrics,
      maximumAgeMs: settings.entryListAge,
      isReady: () => this.#state === 'serving',
      isListing: () => this.#beliefs.table !== undefined,
    });
    metrics.gauge(
      'wasabidyke_store_age_seconds',
      'Time since the store last answered.',
      () => this.#view.ageMs / 1_000,
    );
    metrics.gauge(
      'wasabidyke_records_age_seconds',
      'Time since the store itself told that no record is missing, over all entries in between.',
      () => this.#store.ageMs / 1_000,
    );
    metrics.gauge(
      'wasabidyke_reads_store',
      'Whether this entry reads the store itself (1) or follows another one (0).',
      () => Number(this.#store.isDirect),
    );
    metrics.gauge(
      'wasabidyke_configuration_version',
      'Version of the configuration in force.',
      () => this.#beliefs.table?.version ?? 0,
    );
    metrics.gauge(
      'wasabidyke_upstreams',
      'Upstreams that may be used.',
      () => this.#registry.size,
    );
    metrics.gauge(
      'wasabidyke_entries',
      'Entries that are announced.',
      () => this.#entries.size,
    );
  }

  /** Opens the listeners and begins to follow the store. @throws When an address can't be had. */
  async start(): Promise<void> {
    const {callers, entries, readiness, metrics, feed} = this.#settings.listen;
    this.#view.start();
    await this.#callers.listen(callers.host, callers.port);
    await this.#discovery.listen([entries, readiness, metrics]);
    await this.#feed.listen(feed);
    this.#periodTimer = setInterval(() => this.#onPeriod(), PERIOD_MS);
    this.#log.record('process.started', {
      address: callers.text,
      zone: this.#settings.zone,
      startMs: Math.round(performance.now()),
    });
  }

  /** Takes over changed settings; addresses hold until the next start. */
  applySettings(settings: BalancerSettings): void {
    this.#settings = settings;
    this.#chooser.applyCosts(settings.transferCosts);
    this.#discovery.applyMaximumAge(settings.entryListAge);
  }

  /** Stops without cutting off a request: callers are sent elsewhere first. */
  async stop(): Promise<void> {
    if (this.#state === 'stopping' || this.#state === 'stopped') {
      return;
    }
    const startedAtMs = this.#clock.now();
    this.#state = 'stopping';
    this.#log.record('process.stopping', {inFlight: this.#callers.inFlight});
    this.#entries.leave();
    this.#callers.closeConnections();
    void this.#presence.stop();
    await sleep(this.#settings.stopWithin * SERVING_SHARE);
    const leftMs =
      this.#settings.stopWithin -
      END_MARGIN_MS -
      (this.#clock.now() - startedAtMs);
    await Promise.race([this.#callers.stop(), sleep(leftMs)]);
    this.#view.stop();
    clearInterval(this.#periodTimer);
    this.#discovery.close();
    this.#registry.close();
    this.#feed.close();
    await this.#store.close();
    this.#state = 'stopped';
    this.#log.record('process.stopped', {inFlight: this.#callers.inFlight});
    this.#log.flush();
  }

  #onConfigured(): void {
    if (this.#state === 'starting') {
      this.#state = 'serving';
      void this.#presence.run();
      this.#log.record('process.serving', {
        version: this.#beliefs.table?.version,
      });
    }
  }

  #onPeriod(): void {
    const nowMs = this.#clock.now();
    this.#beliefs.onPeriod(nowMs);
    const perUpstream = this.#settings.loadQueriesPerSecond * QUERY_SHARE;
    const rate = (perUpstream * this.#registry.size) / this.#entries.size;
    this.#queryBudget.applyRate(rate, nowMs);
  }

  #createRegistry(): UpstreamRegistry {
    const {region, zone, regionByZone} = this.#settings;
    return new UpstreamRegistry({
      entry: this.#settings.name,
      locality: {region, zone, regionByZone, roundTripsMs: ROUND_TRIPS_MS},
      protocol: this.#site.wireProtocol,
      clock: this.#clock,
      connectionLimit: service => this.#connectionLimit(service),
      onSilent: ({id, service, address}, cause) =>
        this.#log.record('upstream.silent', {
          upstream: id,
          service,
          address,
          cause,
        }),
    });
  }

  #connectionLimit(service: string): number {
    const connections =
      this.#beliefs.table?.findService(service)?.connections ??
      FEWEST_CONNECTIONS;
    const entries = this.#entries.size * JOINING_SHARE;
    const part = Math.floor((connections * CONNECTION_SHARE) / entries);
    return Math.max(FEWEST_CONNECTIONS, part);
  }

  #createChooser(): Chooser {
    return new Chooser({
      registry: this.#registry,
      clock: this.#clock,
      random: this.#random,
      costs: this.#settings.transferCosts,
      queryBudget: this.#queryBudget,
    });
  }

  #createCallers(metrics: MetricRegistry): CallerServer {
    const memory = new RouteMemory(this.#random, () => ({
      ratio: this.#settings.repeats.ratio,
      slack: this.#settings.repeats.slack,
      windowMs: this.#settings.repeats.window,
      entries: Math.ceil(this.#entries.size * JOINING_SHARE),
    }));
    return new CallerServer({
      chooser: this.#chooser,
      memory,
      metrics,
      registry: this.#registry,
      protocol: this.#site.wireProtocol,
      clock: this.#clock,
      random: this.#random,
      log: this.#log,
      table: () => this.#beliefs.table,
    });
  }
}
