/**
 * Which entries are up, from checks that entries make of each other. Entries
 * form a ring by region, availability zone and name, and each checks the next
 * one that is up, so that the checks of an entry do not grow with the number of
 * entries. An entry that doesn't answer is down only once a second entry, from
 * the other side of whatever may separate the two, can't reach it either. What
 * is known of an entry has a sequence, which that entry alone raises: it takes
 * back what others wrongly say of it.
 */

import type {RandomSource} from './selection.js';

/** What is said of an entry, by itself or by others. */
export interface LivenessStatement {
  readonly name: string;
  /** Raised by the entry itself; a statement with a higher one replaces others. */
  readonly sequence: number;
  readonly isUp: boolean;
  /** Entry that said so first. */
  readonly reporter: string;
}

/** An announced entry. */
export interface LivenessMember {
  readonly name: string;
  readonly region: string;
  readonly zone: string;
  /** Sequence in its announcement. */
  readonly sequence: number;
}

/** What another entry answered when it was asked to check one. */
export type LivenessOpinion = 'reachable' | 'unreachable' | 'none';

/** Consecutive checks that fail until other entries are asked: the first may be lost with a connection that fell silent. */
const FAILURES_UNTIL_ASKED = 2;

/** Time without an answer until other entries are asked, in milliseconds: a process that is killed is often back within it. */
const SILENCE_UNTIL_ASKED_MS = 1_000;

/** Entries asked to check one that doesn't answer: some of them may be down as well. */
const HELPERS = 3;

/** Time for which an entry that didn't give its opinion isn't asked again, in milliseconds. */
const HELPER_PAUSE_MS = 3_000;

/** Entries checked in addition for each that is silent, so that a row of them is found in few rounds. */
const FURTHER_TARGETS = 3;

/** Entries of its own region and of others that are told of news by each that learns it: nearly all learn it within a few rounds, and the rest by the next check. */
const NEAR_LISTENERS = 3;
const FAR_LISTENERS = 1;

/** Maximum number of entries checked at the same time, when many in a row do not answer. */
const MAXIMUM_TARGETS = 16;

/** Time for which statements are kept of entries that are not announced, in milliseconds: longer than a lease, so that an older read brings none back. */
const STATEMENT_LIFETIME_MS = 60_000;

interface Belief {
  readonly statement: LivenessStatement;
  readonly learnedAtMs: number;
}

interface Silence {
  readonly sinceMs: number;
  failures: number;
}

/** Tracks which entries are up. */
export class LivenessTracker {
  readonly #self: LivenessMember;
  readonly #random: RandomSource;
  #isUp = false;
  #sequence: number;
  /** The other announced entries, in the order of the ring that begins after this one. */
  #ring: readonly LivenessMember[] = [];
  #members = new Map<string, LivenessMember>();
  readonly #beliefs = new Map<string, Belief>();
  readonly #silences = new Map<string, Silence>();
  /** Sequences of announcements that name none, as older builds write them. */
  readonly #unnumbered = new Map<string, number>();
  readonly #unhelpfulUntilMs = new Map<string, number>();

  /** @param self This entry; its sequence is higher than those of its earlier processes. */
  constructor(self: LivenessMember, random: RandomSource) {
    this.#self = self;
    this.#sequence = self.sequence;
    this.#random = random;
  }

  /** What this entry says of itself. */
  get own(): LivenessStatement {
    const {name} = this.#self;
    return {
      name,
      sequence: this.#sequence,
      isUp: this.#isUp,
      reporter: name,
    };
  }

  /** Number of announced entries that are down. */
  get downCount(): number {
    return this.#ring.filter(({name}) => this.isDown(name)).length;
  }

  /** Declares this entry up; returns the sequence for its announcement. */
  join(): number {
    this.#isUp = true;
    this.#sequence += 1;
    return this.#sequence;
  }

  /** Declares this entry down, because it is stopping. */
  leave(): void {
    this.#isUp = false;
  }

  /** Replaces the announced entries. */
  applyMembers(members: readonly LivenessMember[], nowMs: number): void {
    const own = toRingKey(this.#self);
    const others = members
      .filter(({name}) => name !== this.#self.name)
      .map(member => ({member, key: toRingKey(member)}))
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const after = others.filter(({key}) => key > own);
    const before = others.filter(({key}) => key <= own);
    this.#ring = [...after, ...before].map(({member}) => member);
    this.#members = new Map(this.#ring.map(member => [member.name, member]));
    this.#forget(nowMs);
  }

  /** Whether an entry is known to be down. */
  isDown(name: string): boolean {
    const belief = this.#beliefs.get(name);
    return belief !== undefined && !belief.statement.isUp;
  }

  /** Takes the sequence of an announcement: a process that announced itself later is up. */
  onAnnounced(name: string, sequence: number): void {
    this.#unnumbered.delete(name);
    const belief = this.#beliefs.get(name);
    if (belief !== undefined && belief.statement.sequence < sequence) {
      this.#forgetEntry(name);
    }
  }

  /**
   * Takes an announcement that names no sequence. Such an entry takes back
   * nothing that is said of it, so that only statements on this very
   * announcement are believed.
   * @param sequence Differs from those of its other announcements.
   */
  onAnnouncedUnnumbered(name: string, sequence: number): void {
    if (this.#unnumbered.get(name) !== sequence) {
      this.#unnumbered.set(name, sequence);
      this.#forgetEntry(name);
    }
  }

  /** Forgets the numbers of announcements without a sequence: they may be given out again. */
  forgetUnnumbered(): void {
    this.#unnumbered.clear();
  }

  #forgetEntry(name: string): void {
    this.#beliefs.delete(name);
    this.#silences.delete(name);
  }

  /** Entries to check now: the next one in the ring that is up, and more behind those that don't answer. */
  selectTargets(): readonly string[] {
    const targets: string[] = [];
    let remaining = 1;
    for (const {name} of this.#ring) {
      if (remaining === 0 || targets.length === MAXIMUM_TARGETS) {
        break;
      }
      if (!this.isDown(name)) {
        targets.push(name);
        remaining += this.#silences.has(name) ? FURTHER_TARGETS : -1;
      }
    }
    return targets;
  }

  /** Records that an entry answered. */
  onAnswer(name: string): void {
    this.#silences.delete(name);
  }

  /** Records that an entry didn't answer a check; returns whether others should be asked. */
  onFailure(name: string, startedAtMs: number, nowMs: number): boolean {
    const silence = this.#silences.get(name) ?? {
      sinceMs: startedAtMs,
      failures: 0,
    };
    silence.failures += 1;
    this.#silences.set(name, silence);
    return (
      silence.failures >= FAILURES_UNTIL_ASKED &&
      nowMs - silence.sinceMs >= SILENCE_UNTIL_ASKED_MS
    );
  }

  /** Whether an entry hasn't answered the last check. */
  isSilent(name: string): boolean {
    return this.#silences.has(name);
  }

  /** Whether an entry is not known to be down, and has answered the last check if this entry checks it. */
  isResponsive(name: string): boolean {
    return !this.isDown(name) && !this.isSilent(name);
  }

  /** Time since the start of the first of the checks that failed in a row, in milliseconds. */
  silentMs(name: string, nowMs: number): number {
    return nowMs - (this.#silences.get(name)?.sinceMs ?? nowMs);
  }

  /**
   * Entries to ask for their opinion. Where the silent one is in another region
   * or zone, only entries outside of this one's own are asked: an entry that is
   * cut off together with its region or zone then gets no answer.
   */
  selectHelpers(target: string, nowMs: number): readonly string[] {
    const silent = this.#members.get(target);
    if (silent === undefined) {
      return [];
    }
    const candidates = this.#ring
      .filter(({name}) => name !== target && !this.isDown(name))
      .filter(({name}) => !this.#silences.has(name))
      .filter(({name}) => (this.#unhelpfulUntilMs.get(name) ?? 0) <= nowMs)
      .filter(helper => this.#isBeyondCut(helper, silent))
      .map(({name}) => name);
    return this.#draw(candidates, HELPERS);
  }

  /** Takes the opinions of others; returns what is now said of the entry if it is down. */
  onOpinions(
    target: string,
    opinions: ReadonlyMap<string, LivenessOpinion>,
    nowMs: number,
  ): LivenessStatement | undefined {
    const given = [...opinions.values()];
    for (const [name, opinion] of opinions) {
      if (opinion === 'none') {
        this.#unhelpfulUntilMs.set(name, nowMs + HELPER_PAUSE_MS);
      }
    }
    if (given.includes('reachable')) {
      this.#silences.delete(target);
      return undefined;
    }
    if (!given.includes('unreachable') || !this.#silences.has(target)) {
      return undefined;
    }
    const statement: LivenessStatement = {
      name: target,
      sequence: this.#sequenceOf(target),
      isUp: false,
      reporter: this.#self.name,
    };
    return this.believe(statement, nowMs) ? statement : undefined;
  }

  /** Takes a statement; returns whether it was news, to be told to others. */
  believe(statement: LivenessStatement, nowMs: number): boolean {
    const {name, sequence, isUp} = statement;
    if (name === this.#self.name) {
      return this.#defend(statement);
    }
    const unnumbered = this.#unnumbered.get(name);
    if (unnumbered !== undefined && sequence !== unnumbered) {
      return false;
    }
    const known = this.#beliefs.get(name)?.statement;
    const knownSequence = this.#sequenceOf(name);
    const isKnownUp = known?.isUp ?? true;
    const replaces =
      sequence > knownSequence ||
      (sequence === knownSequence && isKnownUp && !isUp);
    if (!replaces) {
      return false;
    }
    this.#beliefs.set(name, {statement, learnedAtMs: nowMs});
    if (isUp) {
      this.#silences.delete(name);
    }
    return isUp !== isKnownUp;
  }

  /** What another entry should know: what this one says of itself, and which announced entries are down. */
  listStatements(): readonly LivenessStatement[] {
    const down = [...this.#beliefs.values()]
      .map(({statement}) => statement)
      .filter(({name, isUp}) => !isUp && this.#members.has(name));
    return [this.own, ...down];
  }

  /** What is known better than in the statements of another entry. */
  listCorrections(
    statements: readonly LivenessStatement[],
  ): readonly LivenessStatement[] {
    return statements.flatMap(({name, sequence, isUp}) => {
      const known = this.#beliefs.get(name)?.statement;
      const isBetter = known?.isUp && !isUp && known.sequence > sequence;
      return isBetter ? [known] : [];
    });
  }

  /** Other entries to be told of news, at random: most in this region, since bytes between regions are dear. */
  selectListeners(): readonly string[] {
    const reachable = this.#ring.filter(
      ({name}) => !this.isDown(name) && !this.#silences.has(name),
    );
    const isNear = ({region}: LivenessMember) => region === this.#self.region;
    const near = reachable.filter(isNear).map(({name}) => name);
    const far = reachable
      .filter(member => !isNear(member))
      .map(({name}) => name);
    return [
      ...this.#draw(near, NEAR_LISTENERS),
      ...this.#draw(far, FAR_LISTENERS),
    ];
  }

  /** Answers a wrong statement on this entry with a higher sequence. */
  #defend({sequence, isUp}: LivenessStatement): boolean {
    if (isUp || !this.#isUp || sequence < this.#sequence) {
      return false;
    }
    this.#sequence = sequence + 1;
    return true;
  }

  #sequenceOf(name: string): number {
    const announced = this.#members.get(name)?.sequence ?? 0;
    const told = this.#beliefs.get(name)?.statement.sequence ?? 0;
    return Math.max(announced, told);
  }

  #isBeyondCut(helper: LivenessMember, silent: LivenessMember): boolean {
    const {region, zone} = this.#self;
    if (silent.region !== region) {
      return helper.region !== region;
    }
    return silent.zone === zone || helper.zone !== zone;
  }

  #draw(names: string[], count: number): readonly string[] {
    const drawn: string[] = [];
    while (drawn.length < count && names.length > 0) {
      drawn.push(...names.splice(this.#random.nextBelow(names.length), 1));
    }
    return drawn;
  }

  #forget(nowMs: number): void {
    for (const [name, {learnedAtMs}] of this.#beliefs) {
      const isOld = nowMs - learnedAtMs > STATEMENT_LIFETIME_MS;
      if (isOld && !this.#members.has(name)) {
        this.#beliefs.delete(name);
      }
    }
    for (const [name, untilMs] of this.#unhelpfulUntilMs) {
      if (untilMs <= nowMs) {
        this.#unhelpfulUntilMs.delete(name);
      }
    }
    for (const byName of [this.#silences, this.#unnumbered]) {
      for (const name of byName.keys()) {
        if (!this.#members.has(name)) {
          byName.delete(name);
        }
      }
    }
  }
}

function toRingKey({region, zone, name}: LivenessMember): string {
  return `${region}/${zone}/${name}`;
}
