/**
 * One entry's copy of the replicated table and its view of the members' health.
 * No I/O. Two entries may disagree at any time: their views only decide where
 * messages go and which entries are suggested to callers, and no safety property
 * depends on them.
 */

import type {Clock} from '@wasabidyke/shared';
import {HealthMonitor, type MemberHealth} from './member-health.js';
import type {PeerMetrics} from './peer-metrics.js';
import type {PeerTimings} from './peer-timings.js';
import {
  MAXIMUM_VERSION_LEAD_MS,
  RowTable,
  type HeartbeatUpdate,
  type IdentifiedRow,
  type MergeOutcome,
  type RowLimits,
} from './row-table.js';
import {
  memberSchema,
  rowContentSchema,
  toRowId,
  type Member,
  type Row,
  type RowContent,
  type RowDraft,
  type RowId,
  type RowKind,
} from './rows.js';

/** Member with its health as seen by this entry. */
export interface MemberView {
  readonly member: Member;
  readonly health: MemberHealth;
  readonly isSelf: boolean;
}

/** Receives the changes of a replica. */
export interface ReplicaListener {
  /** Called when a row was added or replaced by a higher one; not for heartbeats. */
  onRow(row: Row): void;
  /** Called when the health of a member changes. */
  onHealth(member: Member, from: MemberHealth, to: MemberHealth): void;
  /** Called when another process that started later uses this entry's name. */
  onReplaced(incarnation: string): void;
}

/** Result of publishing a row: the row in the table. */
export interface PublishedRow {
  readonly row: Row;
  /** Whether this call put the row into the table. */
  readonly isNew: boolean;
}

/** Options of `Replica`. */
export interface ReplicaOptions {
  readonly self: Member;
  readonly clock: Clock;
  readonly timings: PeerTimings;
  readonly limits?: RowLimits;
  readonly metrics: PeerMetrics;
  readonly listener: ReplicaListener;
}

/** Largest heartbeat that fits its unsigned 32-bit wire field. */
const MAXIMUM_HEARTBEAT = 0xffff_ffff;

/** One entry's copy of the replicated table, with its view of the members' health. */
export class Replica {
  readonly table: RowTable;
  readonly selfId: RowId;
  readonly #clock: Clock;
  readonly #timings: PeerTimings;
  readonly #metrics: PeerMetrics;
  readonly #listener: ReplicaListener;
  readonly #health: HealthMonitor;
  readonly #overruledIncarnations = new Set<string>();
  #self: Row<'member'>;
  #isReplaced = false;
  #lastVersion = 0;

  constructor(options: ReplicaOptions) {
    this.table = new RowTable(options.limits);
    this.#clock = options.clock;
    this.#timings = options.timings;
    this.#metrics = options.metrics;
    this.#listener = options.listener;
    this.#health = new HealthMonitor(options.timings, (id, from, to) =>
      this.#onHealth(id, from, to),
    );
    this.#self = this.#toSelfRow(options.self);
    this.selfId = toRowId(this.#self);
    this.#storeSelf();
  }

  /** Value of this process's own row. */
  get self(): Member {
    return this.#self.value;
  }

  /** Whether another process that started later uses this entry's name. */
  get isReplaced(): boolean {
    return this.#isReplaced;
  }

  /** Returns all known members, including this process, ordered by name. */
  members(): readonly MemberView[] {
    const entries = this.table.entries('member');
    const views = entries.map(entry => this.#toView(entry));
    return views.toSorted((left, right) =>
      left.member.entry < right.member.entry ? -1 : 1,
    );
  }

  /** Returns the other members that are neither dead nor stopped. */
  reachable(): readonly Member[] {
    return this.members()
      .filter(view => !view.isSelf && view.health !== 'dead')
      .filter(view => view.member.state !== 'stopped')
      .map(view => view.member);
  }

  /** Returns the health of a member as seen by this entry; `live` if no heartbeat was received yet. */
  health(id: RowId): MemberHealth {
    return id === this.selfId ? 'live' : (this.#health.health(id) ?? 'live');
  }

  /** Changes fields of this process's own row and gives it a new version. */
  updateSelf(change: Partial<Member>): Row<'member'> {
    this.#self = this.#toSelfRow({...this.#self.value, ...change});
    this.#storeSelf();
    return this.#self;
  }

  /** Changes the fields that are sent with heartbeats; the version of the row stays. */
  updateHeartbeatFields(
    change: Partial<Pick<Member, 'load' | 'revision'>>,
  ): void {
    const parsed = memberSchema.safeParse({...this.self, ...change});
    if (parsed.success) {
      this.#self = {...this.#self, value: parsed.data};
    } else {
      this.#metrics.refusals('malformed').add();
    }
  }

  /** Runs once per period: raises the own heartbeat, updates the members' health and removes expired rows. */
  onTick(): void {
    const heartbeat = Math.min(
      this.#self.value.heartbeat + 1,
      MAXIMUM_HEARTBEAT,
    );
    this.#self = {...this.#self, value: {...this.#self.value, heartbeat}};
    this.#storeSelf();
    this.#health.check(this.#clock.now());
    this.table.expire(this.#clock.wallTime());
  }

  /**
   * Publishes a row of this process.
   * @returns The row in the table and whether it is new; undefined if the draft is invalid or the table refuses it.
   */
  publish(draft: RowDraft): PublishedRow | undefined {
    const content = rowContentSchema.safeParse({
      kind: draft.kind,
      value: draft.value,
    });
    if (!content.success) {
      this.#metrics.refusals('malformed').add();
      return undefined;
    }
    const nowMs = this.#clock.wallTime();
    const present = this.table.find(draft.kind, toRowId(content.data));
    const expiresAtMs = Math.floor(draft.expiresAtMs);
    if (present !== undefined && isRedundant(draft, present, nowMs)) {
      return {row: present, isNew: false};
    }
    const version = this.#nextVersion(present?.version ?? 0);
    const row: Row = {...content.data, expiresAtMs, version};
    const outcome = this.#processOutcome(row, this.table.merge(row, nowMs));
    return outcome === 'added' || outcome === 'raised'
      ? {row, isNew: true}
      : undefined;
  }

  /** Merges a row received from a peer. */
  receive(row: Row): MergeOutcome {
    if (row.kind === 'member' && row.value.entry === this.self.entry) {
      return this.#receiveSelfRow(row);
    }
    if (row.kind === 'member' && !this.#isPlausible(row.value)) {
      return this.#countRefusal('far-future');
    }
    const outcome = this.table.merge(row, this.#clock.wallTime());
    return this.#processOutcome(row, outcome);
  }

  /** Applies a heartbeat update from a peer. @returns False if the table does not hold the row at this version. */
  receiveHeartbeat(update: HeartbeatUpdate): boolean {
    const present = this.table.find('member', update.id);
    if (present === undefined || present.version !== update.version) {
      return false;
    }
    if (update.id === this.selfId) {
      this.#raiseHeartbeat(update.heartbeat);
      return true;
    }
    if (!this.#isPlausible({...present.value, heartbeat: update.heartbeat})) {
      this.#countRefusal('far-future');
      return true;
    }
    if (this.table.applyHeartbeat(update)) {
      this.#onHeartbeat(update.id, present.value);
    }
    return true;
  }

  /** Returns the heartbeat updates to send to peers: those of all announced members. */
  heartbeatUpdates(): readonly HeartbeatUpdate[] {
    const entries = this.table.entries('member');
    return entries
      .filter(({id}) => this.isAnnounced(id))
      .map(toHeartbeatUpdate);
  }

  /** Whether a member's row is sent to peers: not for dead members, nor for this process once it is replaced. */
  isAnnounced(id: RowId): boolean {
    return id === this.selfId ? !this.#isReplaced : this.health(id) !== 'dead';
  }

  #processOutcome(row: Row, outcome: MergeOutcome): MergeOutcome {
    if (outcome !== 'added' && outcome !== 'raised') {
      return outcome === 'known' ? outcome : this.#countRefusal(outcome);
    }
    if (row.kind === 'member') {
      this.#onHeartbeat(toRowId(row), row.value);
    }
    this.#metrics.rowsLearned(row.kind).add();
    this.#listener.onRow(row);
    return outcome;
  }

  #countRefusal(outcome: 'expired' | 'far-future' | 'full'): MergeOutcome {
    this.#metrics.refusals(outcome).add();
    return outcome;
  }

  #onHeartbeat(id: RowId, member: Member): void {
    const isSameRegion = member.region === this.self.region;
    this.#health.onHeartbeat(id, isSameRegion, this.#clock.now());
  }

  #onHealth(id: RowId, from: MemberHealth, to: MemberHealth): void {
    const row = this.table.find('member', id);
    if (row === undefined) {
      return;
    }
    if (to === 'forgotten') {
      this.table.remove('member', id);
    }
    this.#listener.onHealth(row.value, from, to);
  }

  /** Whether the heartbeat is possible: it rises at most once per period since the start, within the allowed clock difference. */
  #isPlausible(member: Member): boolean {
    const ageMs = this.#clock.wallTime() - member.startedAtMs;
    const minimumAgeMs = member.heartbeat * this.#timings.periodMs;
    return minimumAgeMs <= ageMs + MAXIMUM_VERSION_LEAD_MS;
  }

  /** Handles a row received from a peer under this entry's own name. */
  #receiveSelfRow(row: Row<'member'>): MergeOutcome {
    const nowMs = this.#clock.wallTime();
    if (row.version > nowMs + MAXIMUM_VERSION_LEAD_MS) {
      return this.#countRefusal('far-future');
    }
    if (row.version < this.#self.version || this.#isReplaced) {
      return 'known';
    }
    if (row.value.incarnation === this.self.incarnation) {
      this.#raiseHeartbeat(row.value.heartbeat);
    }
    if (this.#isReplacedBy(row.value)) {
      this.#isReplaced = true;
      this.#listener.onReplaced(row.value.incarnation);
      return 'known';
    }
    if (row.version > this.#self.version || !isSameProcess(row, this.#self)) {
      this.#lastVersion = Math.max(this.#lastVersion, row.version);
      this.#listener.onRow(this.updateSelf({}));
    }
    return 'known';
  }

  /**
   * A row of another incarnation is overruled once, since it may remain from a
   * process that has ended. If it is received again, that process still runs,
   * and the one that started later keeps the name.
   */
  #isReplacedBy(other: Member): boolean {
    if (other.incarnation === this.self.incarnation) {
      return false;
    }
    const wasOverruled = this.#overruledIncarnations.has(other.incarnation);
    this.#overruledIncarnations.add(other.incarnation);
    return wasOverruled && other.startedAtMs > this.self.startedAtMs;
  }

  #raiseHeartbeat(heartbeat: number): void {
    const value = {...this.#self.value, heartbeat};
    if (heartbeat > this.self.heartbeat && this.#isPlausible(value)) {
      this.#self = {...this.#self, value};
    }
  }

  #toSelfRow(value: Member): Row<'member'> {
    const version = this.#nextVersion(this.#lastVersion);
    return {kind: 'member', value, version, expiresAtMs: 0};
  }

  #nextVersion(above: number): number {
    this.#lastVersion = Math.max(
      Math.floor(this.#clock.wallTime()),
      this.#lastVersion + 1,
      above + 1,
    );
    return this.#lastVersion;
  }

  #storeSelf(): void {
    this.table.merge(this.#self, this.#clock.wallTime());
  }

  #toView({id, row}: IdentifiedRow<'member'>): MemberView {
    const isSelf = id === this.selfId;
    const member = isSelf ? this.self : row.value;
    return {member, health: this.health(id), isSelf};
  }
}

/** Extracts the heartbeat update from a member's row. */
export function toHeartbeatUpdate({
  id,
  row,
}: IdentifiedRow<'member'>): HeartbeatUpdate {
  const {heartbeat, load, revision} = row.value;
  return {id, version: row.version, heartbeat, load, revision};
}

function isSameProcess(left: Row<'member'>, right: Row<'member'>): boolean {
  return left.value.incarnation === right.value.incarnation;
}

/** Whether the existing row has the draft's value and at least half of the draft's remaining time. */
function isRedundant(draft: RowDraft, present: Row, nowMs: number): boolean {
  const remainingMs = present.expiresAtMs - nowMs;
  return (
    isSameValue(draft, present) && remainingMs * 2 >= draft.expiresAtMs - nowMs
  );
}

/** Whether two rows of the same key have equal values; the source of a departure is ignored. */
function isSameValue(left: RowContent, right: RowContent): boolean {
  if (left.kind === 'departure') {
    return right.kind === left.kind;
  }
  return JSON.stringify(left.value) === JSON.stringify(right.value);
}

/** Kinds of rows that two entries compare by checksum. */
export const SUMMED_KINDS: readonly RowKind[] = [
  'departure',
  'suspect',
  'succession',
  'manifest-notice',
];
