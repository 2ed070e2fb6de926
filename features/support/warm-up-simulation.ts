/** Entries that send to upstreams in warm-up, in simulated time and without a network. */

import {
  EntryLists,
  RequestLimit,
  SeededRandom,
  ServiceWarmUp,
  WarmUp,
  type EntryList,
  type ListedEntry,
} from '@wasabidyke/policy';
import {SECOND_MS} from '@wasabidyke/shared';

/** Zones of the entries and their regions; upstreams are in the first one. */
const ZONES = ['a-1', 'a-2', 'a-3', 'b-1', 'b-2'];

/** Time between the attempts of one entry, in milliseconds. */
const STEP_MS = 10;

/** Time between the applications of lists, in milliseconds, as in the balancer. */
const TICK_MS = 250;

const DURATION_MS = 10 * SECOND_MS;

/** Longest warm-up that is said, in milliseconds: longer than any scenario. */
const LONG_MS = 600 * SECOND_MS;

/** An entry. */
export interface SimulatedEntry {
  readonly listed: ListedEntry;
  lists: EntryLists;
  limits: readonly RequestLimit[];
  warmUps: readonly WarmUp[];
}

/** A list that an entry applies later. */
interface PendingList {
  readonly atMs: number;
  readonly entry: SimulatedEntry;
  readonly list: EntryList;
}

/** A request that was sent. */
interface SentRequest {
  readonly atMs: number;
  readonly upstream: number;
  readonly zone: string;
}

/** The entries and what they have sent. */
export class WarmUpSimulation {
  nowMs = 100 * SECOND_MS;
  entries: SimulatedEntry[] = [];
  readonly sent: SentRequest[] = [];
  readonly #service = new ServiceWarmUp();
  readonly #upstreams: number;
  readonly #leftMs: number;
  readonly #random = new SeededRandom(7);
  #pending: PendingList[] = [];
  #named = 0;

  constructor(
    entries: number,
    upstreams: number,
    requestsPerSecond: number,
    leftMs = LONG_MS,
  ) {
    this.#service.configuration = {durationMs: DURATION_MS, requestsPerSecond};
    this.#upstreams = upstreams;
    this.#leftMs = leftMs;
    this.entries = Array.from({length: entries}, () => this.#createEntry());
    this.applyToAll(this.entries);
    // The lists have settled before anything is sent.
    this.nowMs += 10 * SECOND_MS;
    this.entries.forEach(entry => this.#beginWarmUps(entry));
  }

  get zone(): string {
    return ZONES[0];
  }

  /** Has all entries apply the list of those given. */
  applyToAll(listed: readonly SimulatedEntry[], entries = this.entries): void {
    const list = toList(listed);
    entries.forEach(({lists}) => lists.apply(list, this.nowMs));
  }

  /** Has each entry apply the list of those that are there, at a time of its own. */
  spread(withinMs: number): void {
    const list = toList(this.entries);
    for (const entry of this.entries) {
      const atMs = this.nowMs + this.#random.nextBelow(withinMs);
      this.#pending.push({atMs, entry, list});
    }
  }

  /** Restarts all entries: each reads its own announcement first, then those of some others, then of all. */
  restart(withinMs: number): void {
    const all = toList(this.entries);
    this.#pending = [];
    for (const entry of this.entries) {
      this.#reset(entry);
      entry.lists.apply([entry.listed], this.nowMs);
      const some = all.filter(
        listed => listed === entry.listed || this.#random.nextBelow(2) === 0,
      );
      const someAtMs = this.nowMs + this.#random.nextBelow(withinMs / 2);
      const allAtMs =
        this.nowMs + withinMs - this.#random.nextBelow(withinMs / 2);
      this.#pending.push(
        {atMs: someAtMs, entry, list: some},
        {atMs: allAtMs, entry, list: all},
      );
    }
  }

  /** Removes an entry. */
  lose(entry: SimulatedEntry): void {
    this.entries = this.entries.filter(other => other !== entry);
    this.#pending = this.#pending.filter(({entry: one}) => one !== entry);
  }

  /** Adds an entry, which knows those that are there. */
  join(): void {
    const entry = this.#createEntry();
    this.entries.push(entry);
    entry.lists.apply(toList(this.entries), this.nowMs);
    this.#beginWarmUps(entry);
  }

  /** Draws an entry. */
  draw(): SimulatedEntry {
    return this.entries[this.#random.nextBelow(this.entries.length)];
  }

  /** Lets entries send whenever they may. */
  run(forMs: number): void {
    const endMs = this.nowMs + forMs;
    while (this.nowMs < endMs) {
      this.nowMs += STEP_MS;
      if (this.nowMs % TICK_MS === 0) {
        this.#applyPending();
      }
      for (const {limits, listed} of this.entries) {
        limits.forEach((limit, upstream) =>
          this.#send(limit, upstream, listed),
        );
      }
    }
  }

  /** Tells all entries of the remaining warm-up in an answer. */
  answer(leftMs: number): void {
    for (const {warmUps} of this.entries) {
      warmUps.forEach(warmUp =>
        warmUp.onAnswer({leftMs, askedAtMs: this.nowMs}, this.nowMs),
      );
    }
  }

  /** Most requests to one upstream in any one second. */
  get worstSecond(): number {
    const counts = Array.from({length: this.#upstreams}, (_, upstream) =>
      findMostInSecond(
        this.sent
          .filter(request => request.upstream === upstream)
          .map(({atMs}) => atMs),
      ),
    );
    return Math.max(...counts);
  }

  /** Fewest requests to one upstream in the last time. */
  leastSince(fromMs: number): number {
    const counts = Array.from(
      {length: this.#upstreams},
      (_, upstream) =>
        this.sent.filter(
          request => request.upstream === upstream && request.atMs > fromMs,
        ).length,
    );
    return Math.min(...counts);
  }

  #send(limit: RequestLimit, upstream: number, {zone}: ListedEntry): void {
    const isCold = limit.warmUp.isCold(this.nowMs);
    if (isCold && limit.take(this.nowMs)) {
      this.sent.push({atMs: this.nowMs, upstream, zone});
    }
  }

  #applyPending(): void {
    const due = this.#pending.filter(({atMs}) => atMs <= this.nowMs);
    this.#pending = this.#pending.filter(({atMs}) => atMs > this.nowMs);
    due.sort((left, right) => left.atMs - right.atMs);
    const last = new Map(due.map(({entry, list}) => [entry, list]));
    last.forEach((list, {lists}) => lists.apply(list, this.nowMs));
  }

  #createEntry(): SimulatedEntry {
    const index = this.#named;
    this.#named += 1;
    const zone = ZONES[index % ZONES.length];
    const name = `entry-${zone}-${index}`;
    const listed = {name, zone, region: zone[0], isAnnounced: true};
    const entry = {listed, lists: new EntryLists(), limits: [], warmUps: []};
    this.#reset(entry);
    return entry;
  }

  #reset(entry: SimulatedEntry): void {
    const {listed} = entry;
    entry.lists = new EntryLists();
    entry.warmUps = Array.from(
      {length: this.#upstreams},
      () => new WarmUp(this.#service),
    );
    entry.limits = entry.warmUps.map(
      (warmUp, upstream) =>
        new RequestLimit({
          upstream: `upstream-${upstream}`,
          zone: this.zone,
          region: this.zone[0],
          entry: listed.name,
          entries: entry.lists,
          warmUp,
          random: this.#random,
        }),
    );
    this.#beginWarmUps(entry);
  }

  #beginWarmUps({warmUps}: SimulatedEntry): void {
    warmUps.forEach(warmUp => warmUp.onRecord(this.#leftMs, this.nowMs));
  }
}

function toList(entries: readonly SimulatedEntry[]): EntryList {
  return entries
    .map(({listed}) => listed)
    .sort((left, right) => (left.name < right.name ? -1 : 1));
}

function findMostInSecond(timesMs: readonly number[]): number {
  let most = 0;
  let first = 0;
  timesMs.forEach((atMs, index) => {
    while (timesMs[first] <= atMs - SECOND_MS) {
      first += 1;
    }
    most = Math.max(most, index - first + 1);
  });
  return most;
}
