/**
 * One entry's copy of the replicated table together with what it believes about
 * the members. No I/O. Views of two entries may disagree at any time: they steer
 * where messages go and what callers are told to try, and nothing that must be
 * safe rests on them.
 */

import type {Clock} from '@wasabidyke/shared';
import {HealthWatch, type MemberHealth} from './member-health.js';
import type {PeerMetrics} from './peer-metrics.js';
import type {PeerTimings} from './peer-timings.js';
import {
  MAXIMUM_VERSION_LEAD_MS,
  RowTable,
  type Beat,
  type Identified,
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

/** A member and what this entry believes about it. */
export interface MemberView {
  readonly member: Member;
  readonly health: MemberHealth;
  readonly isSelf: boolean;
}

/** Told of what changes in a replica. */
export interface ReplicaListener {
  /** A row became known or rose; not called for heartbeats. */
  onRow(row: Row): void;
  onHealth(member: Member, from: MemberHealth, to: MemberHealth): void;
  /** Another, later process runs under this entry's name. */
  onReplaced(incarnation: string): void;
}

/** A row that stands in the table after it was published. */
export interface PublishedRow {
  readonly row: Row;
  /** Whether the table did not hold it before. */
  readonly isNew: boolean;
}

/** Parts of a replica. */
export interface ReplicaOptions {
  readonly self: Member;
  readonly clock: Clock;
  readonly timings: PeerTimings;
  readonly limits?: RowLimits;
  readonly metrics: PeerMetrics;
  readonly listener: ReplicaListener;
}

/** Largest heartbeat on the wire. */
const MAXIMUM_HEARTBEAT = 0xffff_ffff;

/** One entry's copy of the replicated table. */
export class Replica {
  readonly table: RowTable;
  readonly selfId: RowId;
  readonly #clock: Clock;
  readonly #timings: PeerTimings;
  readonly #metrics: PeerMetrics;
  readonly #listener: ReplicaListener;
  readonly #health: HealthWatch;
  readonly #contested = new Set<string>();
  #self: Row<'member'>;
  #isReplaced = false;
  #lastVersion = 0;

  constructor(options: ReplicaOptions) {
    this.table = new RowTable(options.limits);
    this.#clock = options.clock;
    this.#timings = options.timings;
    this.#metrics = options.metrics;
    this.#listener = options.listener;
    this.#health = new HealthWatch(options.timings, (id, from, to) =>
      this.#onHealth(id, from, to),
    );
    this.#self = this.#toSelfRow(options.self);
    this.selfId = toRowId(this.#self);
    this.#storeSelf();
  }

  /** This process's own row. */
  get self(): Member {
    return this.#self.value;
  }

  /** Whether another process has taken this entry's name. */
  get isReplaced(): boolean {
    return this.#isReplaced;
  }

  /** All members known, this process among them, ordered by name. */
  members(): readonly MemberView[] {
    const entries = this.table.entries('member');
    const views = entries.map(entry => this.#toView(entry));
    return views.toSorted((left, right) =>
      left.member.entry < right.member.entry ? -1 : 1,
    );
  }

  /** The other members that can be called. */
  reachable(): readonly Member[] {
    return this.members()
      .filter(view => !view.isSelf && view.health !== 'dead')
      .filter(view => view.member.state !== 'stopped')
      .map(view => view.member);
  }

  /** What this entry believes about a member's row. */
  health(id: RowId): MemberHealth {
    return id === this.selfId ? 'live' : (this.#health.health(id) ?? 'live');
  }

  /** Changes this process's own facts and gives them a new version. */
  updateSelf(change: Partial<Member>): Row<'member'> {
    this.#self = this.#toSelfRow({...this.#self.value, ...change});
    this.#storeSelf();
    return this.#self;
  }

  /** Changes what travels with heartbeats, under the same version. */
  updateVolatile(change: Partial<Pick<Member, 'load' | 'revision'>>): void {
    const parsed = memberSchema.safeParse({...this.self, ...change});
    if (parsed.success) {
      this.#self = {...this.#self, value: parsed.data};
    } else {
      this.#metrics.refusals('malformed').add();
    }
  }

  /** One period has passed: the own heartbeat rises, silence is judged, rows end. */
  onPeriod(): void {
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
   * @returns The row that stands in the table now, and whether it is new; undefined for a draft that is not valid or finds no room.
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
    if (present !== undefined && isCovered(draft, present, nowMs)) {
      return {row: present, isNew: false};
    }
    const version = this.#nextVersion(present?.version ?? 0);
    const row: Row = {...content.data, expiresAtMs, version};
    const outcome = this.#note(row, this.table.merge(row, nowMs));
    return outcome === 'added' || outcome === 'raised'
      ? {row, isNew: true}
      : undefined;
  }

  /** Takes in a row from a peer. */
  receive(row: Row): MergeOutcome {
    if (row.kind === 'member' && row.value.entry === this.self.entry) {
      return this.#defendSelf(row);
    }
    if (row.kind === 'member' && !this.#isPlausible(row.value)) {
      return this.#refuse('far-future');
    }
    const outcome = this.table.merge(row, this.#clock.wallTime());
    return this.#note(row, outcome);
  }

  /** Takes in a heartbeat. Returns false where the row is not known at this version. */
  receiveBeat(beat: Beat): boolean {
    const present = this.table.find('member', beat.id);
    if (present === undefined || present.version !== beat.version) {
      return false;
    }
    if (beat.id === this.selfId) {
      this.#outrunHeartbeat(beat.heartbeat);
      return true;
    }
    if (!this.#isPlausible({...present.value, heartbeat: beat.heartbeat})) {
      this.#refuse('far-future');
      return true;
    }
    if (this.table.applyBeat(beat)) {
      this.#onHeartbeat(beat.id, present.value);
    }
    return true;
  }

  /** The heartbeats to tell others: of all members that are not taken for dead. */
  beats(): readonly Beat[] {
    const entries = this.table.entries('member');
    return entries.filter(({id}) => this.isTold(id)).map(toBeat);
  }

  /** Whether a member's row is told to others. */
  isTold(id: RowId): boolean {
    return id === this.selfId ? !this.#isReplaced : this.health(id) !== 'dead';
  }

  #note(row: Row, outcome: MergeOutcome): MergeOutcome {
    if (outcome !== 'added' && outcome !== 'raised') {
      return outcome === 'known' ? outcome : this.#refuse(outcome);
    }
    if (row.kind === 'member') {
      this.#onHeartbeat(toRowId(row), row.value);
    }
    this.#metrics.rowsLearned(row.kind).add();
    this.#listener.onRow(row);
    return outcome;
  }

  #refuse(outcome: 'expired' | 'far-future' | 'full'): MergeOutcome {
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

  /** A heartbeat cannot have risen more often than once a period since the start. */
  #isPlausible(member: Member): boolean {
    const ageMs = this.#clock.wallTime() - member.startedAtMs;
    const beatsMs = member.heartbeat * this.#timings.periodMs;
    return beatsMs <= ageMs + MAXIMUM_VERSION_LEAD_MS;
  }

  /** A peer holds a row under this process's name that is not its own latest. */
  #defendSelf(row: Row<'member'>): MergeOutcome {
    const nowMs = this.#clock.wallTime();
    if (row.version > nowMs + MAXIMUM_VERSION_LEAD_MS) {
      return this.#refuse('far-future');
    }
    if (row.version < this.#self.version || this.#isReplaced) {
      return 'known';
    }
    if (row.value.incarnation === this.self.incarnation) {
      this.#outrunHeartbeat(row.value.heartbeat);
    }
    if (this.#mustYield(row.value)) {
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

  /** A row left by a process that has ended is overruled once; one that comes back has a live owner, and the later start wins. */
  #mustYield(other: Member): boolean {
    if (other.incarnation === this.self.incarnation) {
      return false;
    }
    const isBack = this.#contested.has(other.incarnation);
    this.#contested.add(other.incarnation);
    return isBack && other.startedAtMs > this.self.startedAtMs;
  }

  #outrunHeartbeat(heartbeat: number): void {
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

  #toView({id, row}: Identified<'member'>): MemberView {
    const isSelf = id === this.selfId;
    const member = isSelf ? this.self : row.value;
    return {member, health: this.health(id), isSelf};
  }
}

/** The heartbeat in a member's row. */
export function toBeat({id, row}: Identified<'member'>): Beat {
  const {heartbeat, load, revision} = row.value;
  return {id, version: row.version, heartbeat, load, revision};
}

function isSameProcess(left: Row<'member'>, right: Row<'member'>): boolean {
  return left.value.incarnation === right.value.incarnation;
}

function isCovered(draft: RowDraft, present: Row, nowMs: number): boolean {
  const remaining = present.expiresAtMs - nowMs;
  return (
    isSameValue(draft, present) && remaining * 2 >= draft.expiresAtMs - nowMs
  );
}

/** Whether two rows of one key say the same; how a departure was learned makes no difference. */
function isSameValue(left: RowContent, right: RowContent): boolean {
  if (left.kind === 'departure') {
    return right.kind === left.kind;
  }
  return JSON.stringify(left.value) === JSON.stringify(right.value);
}

/** Kinds whose tables are compared by their sums. */
export const SUMMED_KINDS: readonly RowKind[] = [
  'departure',
  'suspect',
  'succession',
  'manifest-notice',
];
