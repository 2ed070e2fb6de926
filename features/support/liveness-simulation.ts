/** Entries that check each other in simulated time, without a network. */

import {
  LivenessTracker,
  SeededRandom,
  type LivenessMember,
  type LivenessOpinion,
  type LivenessStatement,
} from '@wasabidyke/policy';

/** What the entries do in the product: time between checks, until one fails, and until opinions are there or are given up, in milliseconds. */
const INTERVAL_MS = 700;
const CHECK_MS = 600;
const OPINION_MS = 700;
const OPINION_TIMEOUT_MS = 900;
const ASKING_ROUNDS = 2;
const GATHERING_MS = 100;

/** Time that a message takes, in milliseconds. */
const MESSAGE_MS = 20;

interface Event {
  readonly atMs: number;
  readonly run: () => void;
}

/** One simulated entry. */
export interface SimulatedEntry {
  readonly member: LivenessMember;
  readonly tracker: LivenessTracker;
  isOff: boolean;
  sent: number;
  /** Entries whose check runs, and on which others are asked. */
  readonly checking: Set<string>;
  readonly asking: Set<string>;
  readonly news: Map<string, LivenessStatement>;
}

/** The simulation. */
export class LivenessSimulation {
  readonly entries: SimulatedEntry[];
  readonly #byName: Map<string, SimulatedEntry>;
  #events: Event[] = [];
  nowMs = 0;
  /** Whether the first entry can reach the second; both run. */
  isLinked: (from: SimulatedEntry, to: SimulatedEntry) => boolean = () => true;

  constructor(members: readonly LivenessMember[]) {
    this.entries = members.map((member, index) => {
      const tracker = new LivenessTracker(member, new SeededRandom(index));
      return {
        member: {...member, sequence: tracker.join()},
        tracker,
        isOff: false,
        sent: 0,
        checking: new Set(),
        asking: new Set(),
        news: new Map(),
      };
    });
    this.#byName = new Map(
      this.entries.map(entry => [entry.member.name, entry]),
    );
    this.entries.forEach((_, index) => {
      const phaseMs = (index * INTERVAL_MS) / this.entries.length;
      this.#after(phaseMs, () => this.#round(this.entries[index]));
    });
  }

  /** Lets time go by. */
  advance(byMs: number): void {
    const endMs = this.nowMs + byMs;
    for (;;) {
      const next = this.#takeNext(endMs);
      if (next === undefined) {
        break;
      }
      this.nowMs = next.atMs;
      next.run();
    }
    this.nowMs = endMs;
  }

  #takeNext(endMs: number): Event | undefined {
    let first = -1;
    for (let index = 0; index < this.#events.length; index++) {
      const {atMs} = this.#events[index];
      const isEarlier = first === -1 || atMs < this.#events[first].atMs;
      if (atMs <= endMs && isEarlier) {
        first = index;
      }
    }
    return first === -1 ? undefined : this.#events.splice(first, 1)[0];
  }

  #after(delayMs: number, run: () => void): void {
    this.#events.push({atMs: this.nowMs + delayMs, run});
  }

  #round(entry: SimulatedEntry): void {
    this.#after(INTERVAL_MS, () => this.#round(entry));
    if (entry.isOff) {
      return;
    }
    const members = this.entries.map(({member}) => member);
    entry.tracker.applyMembers(members, this.nowMs);
    this.#checkTargets(entry);
  }

  #checkTargets(entry: SimulatedEntry): void {
    for (const name of entry.tracker.selectTargets()) {
      if (!entry.checking.has(name)) {
        this.#check(entry, this.#find(name));
      }
    }
  }

  #check(from: SimulatedEntry, to: SimulatedEntry): void {
    const {tracker} = from;
    const {name} = to.member;
    const startedAtMs = this.nowMs;
    if (this.#exchange(from, to, tracker.listStatements())) {
      tracker.onAnswer(name);
      return;
    }
    from.checking.add(name);
    this.#after(CHECK_MS, () => {
      from.checking.delete(name);
      const shouldAsk = tracker.onFailure(name, startedAtMs, this.nowMs);
      this.#checkTargets(from);
      if (shouldAsk && !from.asking.has(name)) {
        from.asking.add(name);
        this.#askOthers(from, to, ASKING_ROUNDS);
      }
    });
  }

  #askOthers(from: SimulatedEntry, to: SimulatedEntry, rounds: number): void {
    const {tracker} = from;
    const {name} = to.member;
    const opinions = new Map<string, LivenessOpinion>();
    for (const helperName of tracker.selectHelpers(name, this.nowMs)) {
      from.sent += 1;
      const opinion = this.#opinion(from, this.#find(helperName), to);
      opinions.set(helperName, opinion);
    }
    const given = [...opinions.values()];
    const isSlow = given.includes('none');
    this.#after(isSlow ? OPINION_TIMEOUT_MS : OPINION_MS, () => {
      const statement = tracker.onOpinions(name, opinions, this.nowMs);
      if (statement !== undefined && !from.isOff) {
        this.#tell(from, [statement]);
      }
      const isAnswered = given.some(opinion => opinion !== 'none');
      if (isAnswered || given.length === 0 || rounds === 1) {
        from.asking.delete(name);
      } else {
        this.#askOthers(from, to, rounds - 1);
      }
    });
  }

  #opinion(
    from: SimulatedEntry,
    helper: SimulatedEntry,
    to: SimulatedEntry,
  ): LivenessOpinion {
    if (!this.#reaches(from, helper)) {
      return 'none';
    }
    helper.sent += 1;
    return this.#reaches(helper, to) ? 'reachable' : 'unreachable';
  }

  /** Exchanges statements; returns whether the other one answered. */
  #exchange(
    from: SimulatedEntry,
    to: SimulatedEntry,
    statements: readonly LivenessStatement[],
  ): boolean {
    from.sent += 1;
    if (!this.#reaches(from, to)) {
      return false;
    }
    this.#after(MESSAGE_MS, () => {
      this.#believe(to, statements);
      const answer = [
        ...to.tracker.listStatements(),
        ...to.tracker.listCorrections(statements),
      ];
      this.#after(MESSAGE_MS, () => this.#believe(from, answer));
    });
    return true;
  }

  #believe(
    entry: SimulatedEntry,
    statements: readonly LivenessStatement[],
  ): void {
    const news = statements.filter(statement =>
      entry.tracker.believe(statement, this.nowMs),
    );
    const {own} = entry.tracker;
    this.#tell(
      entry,
      news.map(statement => (statement.name === own.name ? own : statement)),
    );
  }

  #tell(entry: SimulatedEntry, news: readonly LivenessStatement[]): void {
    if (entry.news.size === 0 && news.length > 0) {
      this.#after(GATHERING_MS, () => this.#tellNews(entry));
    }
    for (const statement of news) {
      entry.news.set(statement.name, statement);
    }
  }

  #tellNews(entry: SimulatedEntry): void {
    const news = [...entry.news.values()];
    entry.news.clear();
    for (const name of entry.tracker.selectListeners()) {
      const listener = this.#find(name);
      entry.sent += 1;
      if (this.#reaches(entry, listener)) {
        this.#after(MESSAGE_MS, () => this.#believe(listener, news));
      }
    }
  }

  #reaches(from: SimulatedEntry, to: SimulatedEntry): boolean {
    return !from.isOff && !to.isOff && this.isLinked(from, to);
  }

  #find(name: string): SimulatedEntry {
    const entry = this.#byName.get(name);
    if (entry === undefined) {
      throw new Error(`no entry ${name}`);
    }
    return entry;
  }
}
