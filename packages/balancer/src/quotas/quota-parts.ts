/** The parts that keep the quotas of accounts over all entries. */

import {
  DEFAULT_QUOTA_TOLERANCE,
  type QuotaTolerance,
  type RandomSource,
} from '@wasabidyke/policy';
import {
  ElapsedClock,
  type Clock,
  type MetricRegistry,
} from '@wasabidyke/shared';
import type {BalancerSettings} from '../balancer-settings.js';
import {EntryClient} from '../feed/entry-client.js';
import type {EntryRecord} from '../members/entry-record.js';
import type {EntryRoster} from '../members/entry-roster.js';
import type {DecisionLog} from '../reporting/decision-log.js';
import type {RoutingTable} from '../routing/routing-table.js';
import {QuotaClient} from './quota-client.js';
import {registerQuotaCounters} from './quota-counters.js';
import {QuotaDemandExchange} from './quota-demand-exchange.js';
import {QuotaGate} from './quota-gate.js';
import {QuotaGranter} from './quota-granter.js';
import {QuotaMembers} from './quota-members.js';
import {QuotaResponder} from './quota-responder.js';
import {RegionContacts} from './region-contacts.js';

/** Options of `QuotaParts`. */
export interface QuotaPartsOptions {
  readonly settings: () => BalancerSettings;
  readonly own: EntryRecord;
  readonly roster: EntryRoster;
  readonly table: () => RoutingTable | undefined;
  /** Time since the store itself confirmed that no record is missing, in milliseconds. */
  readonly storeAgeMs: () => number;
  readonly metrics: MetricRegistry;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
}

/** Time between looks at which entries are up, in milliseconds. */
const TICK_INTERVAL_MS = 100;

/** The same in deployments without accounts, in milliseconds: the entries are known when the first account is configured. */
const IDLE_INTERVAL_MS = 1_000;

/** Time between closings of the connections to entries that have left, in milliseconds: an open connection costs little. */
const RETAIN_INTERVAL_MS = 1_000;

/** Time without the store and other regions after which an entry stops granting, in milliseconds. Source: the lease of announcements, after which others no longer count it. */
const CUT_OFF_MS = 10_000;

/** Creates and connects the parts. */
export class QuotaParts {
  readonly gate: QuotaGate;
  readonly #responder: QuotaResponder;
  readonly #exchange: QuotaDemandExchange;
  readonly #options: QuotaPartsOptions;
  /** Has connections of its own: those of the liveness checks are closed when their targets change. */
  readonly #client = new EntryClient();
  readonly #passingClient = new EntryClient();
  readonly #members: QuotaMembers;
  readonly #granter: QuotaGranter;
  readonly #quotaClient: QuotaClient;
  readonly #contacts: RegionContacts;
  #retainedAtMs = -Infinity;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: QuotaPartsOptions) {
    this.#options = options;
    const {clock, random, log, metrics, roster, own} = options;
    const counters = registerQuotaCounters(metrics);
    const elapsedClock = new ElapsedClock(clock);
    const now = () => elapsedClock.now();
    const members = new QuotaMembers(roster, own, now);
    const client = this.#client;
    const tolerance = () => this.#tolerance;
    this.#members = members;
    this.#exchange = new QuotaDemandExchange({
      members,
      granter: () => this.#granter,
      client,
      counters,
      clock,
      hasAccounts: () => this.#options.table()?.hasAccounts === true,
    });
    this.#granter = new QuotaGranter({
      members,
      findQuota: name => this.#findQuota(name),
      tolerance,
      isCutOff: () => this.#isCutOff,
      onBegin: () => this.#exchange.tellSoon(),
      onShort: (name, account, wanted) =>
        this.#exchange.borrow(name, account, wanted),
      onContested: () => this.#contacts.onContested(),
      now,
      log,
    });
    const granter = this.#granter;
    this.#contacts = new RegionContacts({members, client, random, now});
    this.#quotaClient = new QuotaClient({
      members,
      client,
      passingClient: this.#passingClient,
      onAsk: entry => this.#contacts.onAsk(entry),
      onReleased: (account, tokens) => granter.accept(account, tokens),
      counters,
      clock,
    });
    this.#responder = new QuotaResponder({
      members,
      granter,
      client: this.#quotaClient,
      counters,
      now,
    });
    this.gate = new QuotaGate({
      members,
      granter,
      responder: this.#responder,
      counters,
      tolerance,
      clock,
      random,
      log,
    });
  }

  start(): void {
    this.#exchange.start();
    this.#scheduleTick();
  }

  /** Deployments without accounts are spared most of the wake-ups. */
  #scheduleTick(): void {
    const isIdle = this.#options.table()?.hasAccounts === false;
    const intervalMs = isIdle ? IDLE_INTERVAL_MS : TICK_INTERVAL_MS;
    this.#timer = setTimeout(() => {
      this.#onTick();
      this.#scheduleTick();
    }, intervalMs);
  }

  /** Answers another entry; undefined if the message can't be read. */
  onQuery(message: unknown): Promise<string | undefined> {
    return this.#responder.onQuery(message);
  }

  /** Takes the demand of another region; undefined if the message can't be read. */
  onDemand(message: unknown): string | undefined {
    return this.#exchange.onDemand(message);
  }

  /** Called when another entry is asked something; the function that it returns takes whether it answered. */
  onAsk(entry: string): (isAnswered: boolean) => void {
    return this.#contacts.onAsk(entry);
  }

  /** Grants only until others take over; this entry still asks them for its own requests. */
  leave(): void {
    this.#granter.stop();
  }

  stop(): void {
    clearTimeout(this.#timer);
    this.#exchange.stop();
    this.#client.close();
    this.#passingClient.close();
  }

  #onTick(): void {
    const nowMs = this.#options.clock.now();
    if (this.#options.table() !== undefined) {
      this.#granter.onConfigured();
    }
    this.#members.update();
    this.#granter.onTick();
    if (this.#options.table()?.hasAccounts === true) {
      this.#contacts.onTick();
    }
    this.#quotaClient.onTick(nowMs);
    if (nowMs - this.#retainedAtMs >= RETAIN_INTERVAL_MS) {
      this.#retainedAtMs = nowMs;
      const {addresses} = this.#members;
      this.#client.retain(addresses);
      this.#passingClient.retain(addresses);
    }
  }

  #findQuota(name: string) {
    const account = this.#options.table()?.findAccount(name);
    return account?.requestsPerSecond === 0 ? undefined : account;
  }

  get #isCutOff(): boolean {
    const {clock, storeAgeMs} = this.#options;
    const silentMs = clock.now() - this.#exchange.heardAtMs;
    return (
      storeAgeMs() > CUT_OFF_MS &&
      silentMs > CUT_OFF_MS &&
      this.#members.scope.otherRegions.length > 0
    );
  }

  get #tolerance(): QuotaTolerance {
    const {quotas} = this.#options.settings();
    return quotas === undefined
      ? DEFAULT_QUOTA_TOLERANCE
      : {...quotas, windowMs: quotas.window};
  }
}
