/** One entry of a region in which quotas are disturbed: the parts of the product, and what the entry knows of the others. */

import {
  QuotaGate,
  QuotaGranter,
  QuotaMembers,
  QuotaResponder,
  RegionContacts,
  registerQuotaCounters,
  type DecisionLog,
  type EntryClient,
  type EntryRecord,
  type EntryRoster,
  type QueryKind,
  type QuotaClient,
  type QuotaGateOptions,
} from '@wasabidyke/balancer';
import {
  DEFAULT_QUOTA_TOLERANCE,
  type Quota,
  type QuotaGrant,
  type SeededRandom,
} from '@wasabidyke/policy';
import {MetricRegistry, type Moment} from '@wasabidyke/shared';

/** The account. */
export const OVERLAP_ACCOUNT = 'hotel';

const NO_LOG = {record: () => {}} as unknown as DecisionLog;

/** A request, and what became of it. */
export interface OverlapRequest {
  readonly sentAtMs: number;
  readonly isWithin: boolean;
  /** When it was let through; undefined if it was refused. */
  passedAtMs?: number;
  /** The entry that it was sent to. */
  entry?: string;
}

/** What an entry needs of its region. */
export interface OverlapSite {
  readonly nowMs: number;
  readonly entries: readonly OverlapEntry[];
  ask(
    from: OverlapEntry,
    name: string,
    count: number,
    kind: QueryKind,
  ): Promise<QuotaGrant | undefined>;
  ping(from: OverlapEntry, address: string): Promise<{kind: string}>;
}

/** One process of an entry. */
export class OverlapProcess {
  readonly members: QuotaMembers;
  readonly granter: QuotaGranter;
  readonly responder: QuotaResponder;
  readonly contacts: RegionContacts;
  readonly gate: QuotaGate;

  constructor(
    entry: OverlapEntry,
    site: OverlapSite,
    quota: Quota,
    random: SeededRandom,
  ) {
    const now = () => entry.now();
    const clock = {now: () => entry.now().steadyMs};
    const counters = registerQuotaCounters(new MetricRegistry());
    const tolerance = () => DEFAULT_QUOTA_TOLERANCE;
    this.members = new QuotaMembers(
      entry as unknown as EntryRoster,
      entry.record,
      now,
    );
    this.granter = new QuotaGranter({
      members: this.members,
      findQuota: () => quota,
      tolerance,
      isCutOff: () => false,
      onBegin: () => {},
      onShort: () => {},
      onContested: () => this.contacts.onContested(),
      now,
      log: NO_LOG,
    });
    const client = {
      unansweredMs: () => 0,
      ask: (name: string, _: string, count: number, kind: QueryKind) =>
        site.ask(entry, name, count, kind),
    } as unknown as QuotaClient;
    this.responder = new QuotaResponder({
      members: this.members,
      granter: this.granter,
      client,
      counters,
      now,
    });
    this.contacts = new RegionContacts({
      members: this.members,
      client: {
        post: ({address}: {address: string}) => site.ping(entry, address),
      } as unknown as EntryClient,
      random,
      now,
    });
    this.gate = new QuotaGate({
      members: this.members,
      granter: this.granter,
      responder: this.responder,
      counters,
      tolerance,
      clock: clock as QuotaGateOptions['clock'],
      random,
      log: NO_LOG,
    });
    this.granter.onConfigured();
  }
}

/** One entry, and what it knows of the others. */
export class OverlapEntry {
  readonly record: EntryRecord;
  readonly down = new Set<string>();
  process: OverlapProcess | undefined;
  /** Requests that arrived while it stood still. */
  readonly waiting: OverlapRequest[] = [];
  isStopping = false;
  isPaused = false;
  /** Time that its monotonic clock has not counted, in milliseconds. */
  suspendedMs = 0;
  cutIn = false;
  cutOut = false;
  isApart = false;
  checksAtMs: number;
  readonly #site: OverlapSite;

  constructor(name: string, site: OverlapSite, checksAtMs: number) {
    this.#site = site;
    this.checksAtMs = checksAtMs;
    this.record = {
      name,
      address: `${name}:1`,
      feedAddress: name,
      region: 'home',
      zone: 'home-a',
      sequence: 1,
      grantsQuotas: true,
    } as unknown as EntryRecord;
  }

  get name(): string {
    return this.record.name;
  }

  get isRunning(): boolean {
    return this.process !== undefined && !this.isPaused;
  }

  get isSelfAnnounced(): boolean {
    return true;
  }

  get size(): number {
    return this.#site.entries.length;
  }

  listMembers(): ReadonlyArray<{record: EntryRecord; isUp: boolean}> {
    return this.#site.entries.map(({record}) => ({
      record,
      isUp: !this.down.has(record.name),
    }));
  }

  now(): Moment {
    const elapsedMs = this.#site.nowMs;
    return {steadyMs: elapsedMs - this.suspendedMs, elapsedMs};
  }
}
