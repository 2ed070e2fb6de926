/**
 * The entries of one region that keep the quota of one account, in simulated
 * time and without a network: all parts of quotas but their client are the
 * product's own. What entries learn of each other they learn at moments of
 * their own, as from the checks that entries make.
 */

import {
  quotaAnswerSchema,
  serializeQuotaQuery,
  type QueryKind,
  type QuotaGate,
} from '@wasabidyke/balancer';
import {
  rendezvousHash,
  SeededRandom,
  type Quota,
  type QuotaGrant,
} from '@wasabidyke/policy';
import {
  OVERLAP_ACCOUNT,
  OverlapEntry,
  OverlapProcess,
  type OverlapRequest,
  type OverlapSite,
} from './quota-overlap-entry.js';

/** What is done to an entry; `rank` counts entries in the order in which they are asked for the account. */
export interface QuotaDisturbance {
  readonly kind:
    | 'pause'
    /** A pause that the monotonic clock doesn't count. */
    | 'suspend'
    | 'cut'
    /** Nothing reaches the entry, or nothing that it sends arrives. */
    | 'cut-in'
    | 'cut-out'
    /** The entries reach each other, and none of the others. */
    | 'apart'
    | 'stop'
    | 'kill';
  readonly ranks: readonly number[];
  readonly atMs: number;
  readonly forMs: number;
}

/** One simulation. */
export interface QuotaOverlapOptions {
  readonly entries: number;
  readonly quota: Quota;
  readonly disturbances: readonly QuotaDisturbance[];
  readonly seed: number;
}

/** What came out. */
export interface QuotaOverlapResult {
  readonly requests: readonly OverlapRequest[];
  /** Messages between entries beside the checks that they make anyway. */
  readonly messages: number;
}

const STEP_MS = 10;
const TICK_MS = 100;
const CHECK_MS = 700;
const CHECK_TIMEOUT_MS = 600;
/** Time that a stopping process has, and until a process is back. */
const STOP_MS = 2_000;
const RESTART_MS = 400;
/** Times in which entries learn that another one is down, is up again, or has left. */
const DOWN_MS = {from: 1_600, spread: 1_400};
const UP_MS = {from: 100, spread: 900};
const LEFT_MS = {from: 100, spread: 300};
/** Requests are sent as usual first, and then many times as many. */
const CALM_MS = 10_000;
const SURGE_MS = 12_000;
const SURGE_FACTOR = 7.5;
const USUAL_SHARE = 1 / 1.6;
const DEADLINE_MS = 1_500;

interface Pending {
  readonly atMs: number;
  readonly act: () => void;
}

/** The region. */
export class QuotaOverlap implements OverlapSite {
  nowMs = 0;
  readonly entries: readonly OverlapEntry[];
  readonly #options: QuotaOverlapOptions;
  readonly #random: SeededRandom;
  readonly #pending: Pending[] = [];
  readonly #requests: OverlapRequest[] = [];
  /** Since when an entry has not reached another one, and when it learns of it. */
  readonly #learnsAtMs = new Map<string, number>();
  #messages = 0;

  constructor(options: QuotaOverlapOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    const names = Array.from(
      {length: options.entries},
      (_, index) => `entry-${index + 1}`,
    );
    names.sort(
      (left, right) =>
        rendezvousHash(left, OVERLAP_ACCOUNT) -
        rendezvousHash(right, OVERLAP_ACCOUNT),
    );
    this.entries = names.map(
      name => new OverlapEntry(name, this, this.#random.nextBelow(CHECK_MS)),
    );
    this.entries.forEach(entry => this.#start(entry));
    for (const disturbance of options.disturbances) {
      for (const rank of disturbance.ranks) {
        this.#later(CALM_MS + disturbance.atMs, () =>
          this.#disturb(this.entries[rank % names.length], disturbance),
        );
      }
    }
  }

  async run(): Promise<QuotaOverlapResult> {
    const {requestsPerSecond, burst} = this.#options.quota;
    let due = 0;
    let tokens = burst;
    for (; this.nowMs < CALM_MS + SURGE_MS; this.nowMs += STEP_MS) {
      for (const {act} of this.#takePending()) {
        act();
      }
      this.#learn();
      await this.#tick();
      const factor = this.nowMs < CALM_MS ? 1 : SURGE_FACTOR;
      const perStep = (requestsPerSecond * STEP_MS) / 1_000;
      due += perStep * USUAL_SHARE * factor;
      tokens = Math.min(burst, tokens + perStep);
      for (; due >= 1; due--) {
        const isWithin = tokens >= 1;
        tokens -= Number(isWithin);
        const request = {sentAtMs: this.nowMs, isWithin};
        this.#requests.push(request);
        await this.#send(request);
      }
    }
    return {requests: this.#requests, messages: this.#messages};
  }

  /** A query for quotas. */
  async ask(
    from: OverlapEntry,
    name: string,
    count: number,
    kind: QueryKind,
  ): Promise<QuotaGrant | undefined> {
    const to = this.#find(name);
    this.#messages += 1;
    const onAnswer = from.process?.contacts.onAsk(name);
    if (to?.process === undefined || !this.#reaches(from, name)) {
      if (kind === 'taking') {
        onAnswer?.(false);
      }
      if (!to?.isRunning || !this.#isOpen(from, to)) {
        return undefined;
      }
    } else {
      onAnswer?.(true);
    }
    if (to?.process === undefined) {
      return undefined;
    }
    const isTaking = kind === 'taking' || undefined;
    const message = serializeQuotaQuery({
      asks: [{account: OVERLAP_ACCOUNT, count}],
      isForwarded: kind === 'forwarded' || isTaking,
      isTaking,
      asker: from.name,
    });
    const text = await to.process.responder.onQuery(JSON.parse(message));
    if (!this.#isOpen(to, from)) {
      return undefined;
    }
    const [grant] = quotaAnswerSchema.parse(JSON.parse(text ?? '')).grants;
    if (grant.released !== undefined && isTaking) {
      from.process?.granter.accept(OVERLAP_ACCOUNT, grant.released);
    }
    const {granted, comeBackMs = 0} = grant;
    return granted === undefined ? undefined : {granted, comeBackMs};
  }

  /** A question whether an entry can be reached. */
  ping(from: OverlapEntry, address: string): Promise<{kind: string}> {
    this.#messages += 1;
    return new Promise(resolve => {
      if (this.#reaches(from, address)) {
        resolve({kind: 'answered'});
      } else {
        this.#later(this.nowMs + CHECK_TIMEOUT_MS, () =>
          resolve({kind: 'silent'}),
        );
      }
    });
  }

  #start(entry: OverlapEntry): void {
    entry.isStopping = false;
    entry.down.clear();
    entry.process = new OverlapProcess(
      entry,
      this,
      this.#options.quota,
      this.#random,
    );
  }

  #disturb(entry: OverlapEntry, {kind, forMs}: QuotaDisturbance): void {
    const endMs = this.nowMs + forMs;
    if (kind === 'pause' || kind === 'suspend') {
      entry.isPaused = true;
      this.#later(endMs, () => {
        entry.suspendedMs += kind === 'suspend' ? forMs : 0;
        entry.isPaused = false;
        for (const request of entry.waiting.splice(0)) {
          if (this.nowMs - request.sentAtMs < DEADLINE_MS) {
            void this.#serve(entry, request);
          }
        }
      });
    } else if (kind === 'kill' || kind === 'stop') {
      if (kind === 'stop') {
        entry.isStopping = true;
        entry.process?.granter.stop();
        for (const other of this.entries) {
          if (other !== entry && this.#reaches(entry, other.name)) {
            const atMs = this.nowMs + this.#draw(LEFT_MS);
            this.#later(atMs, () => other.down.add(entry.name));
          }
        }
      }
      const restMs = kind === 'stop' ? STOP_MS : 0;
      this.#later(this.nowMs + restMs, () => (entry.process = undefined));
      this.#later(this.nowMs + restMs + RESTART_MS, () => this.#start(entry));
    } else if (kind === 'apart') {
      entry.isApart = true;
      this.#later(endMs, () => (entry.isApart = false));
    } else {
      entry.cutIn = kind !== 'cut-out';
      entry.cutOut = kind !== 'cut-in';
      this.#later(endMs, () => {
        entry.cutIn = false;
        entry.cutOut = false;
      });
    }
  }

  async #tick(): Promise<void> {
    for (const entry of this.entries) {
      const {process} = entry;
      if (process === undefined || entry.isPaused) {
        continue;
      }
      if (this.nowMs % TICK_MS === 0) {
        process.members.update();
        process.granter.onTick();
        process.contacts.onTick();
      }
      if (this.nowMs >= entry.checksAtMs) {
        entry.checksAtMs = this.nowMs + CHECK_MS;
        this.#check(entry, process);
      }
    }
    // Lets the answers arrive that are there.
    await new Promise(resolve => setImmediate(resolve));
  }

  /** The check of the next entry that is up. */
  #check(entry: OverlapEntry, {contacts}: OverlapProcess): void {
    const names = this.entries.map(({name}) => name).sort();
    const own = names.indexOf(entry.name);
    const next = [...names.slice(own + 1), ...names.slice(0, own)].find(
      name => !entry.down.has(name),
    );
    if (next === undefined) {
      return;
    }
    const onAnswer = contacts.onAsk(next);
    if (this.#reaches(entry, next)) {
      onAnswer(true);
    } else {
      this.#later(this.nowMs + CHECK_TIMEOUT_MS, () => {
        if (entry.isRunning) {
          onAnswer(false);
        }
      });
    }
  }

  /** What entries learn of each other: one that reaches nobody learns nothing. */
  #learn(): void {
    for (const entry of this.entries) {
      const reached = this.entries.filter(({name}) =>
        this.#reaches(entry, name),
      );
      for (const other of this.entries) {
        const key = `${entry.name} ${other.name}`;
        const isReached =
          other === entry ||
          reached.some(helper => this.#reaches(helper, other.name)) ||
          reached.includes(other);
        const isDown = entry.down.has(other.name);
        const isKnowing = entry.isRunning && reached.length > 0;
        if (isReached !== isDown || other.isStopping || !isKnowing) {
          this.#learnsAtMs.delete(key);
          continue;
        }
        const atMs =
          this.#learnsAtMs.get(key) ??
          this.nowMs + this.#draw(isReached ? UP_MS : DOWN_MS);
        this.#learnsAtMs.set(key, atMs);
        if (this.nowMs >= atMs) {
          this.#learnsAtMs.delete(key);
          if (isReached) {
            entry.down.delete(other.name);
          } else {
            entry.down.add(other.name);
          }
        }
      }
    }
  }

  async #send(request: OverlapRequest): Promise<void> {
    const taking = this.entries.filter(
      ({process, isStopping}) => process !== undefined && !isStopping,
    );
    const entry = taking.at(this.#random.nextBelow(taking.length || 1));
    if (entry === undefined) {
      return;
    }
    request.entry = entry.name;
    if (entry.isPaused) {
      entry.waiting.push(request);
    } else {
      await this.#serve(entry, request);
    }
  }

  async #serve(entry: OverlapEntry, request: OverlapRequest): Promise<void> {
    const account = {name: OVERLAP_ACCOUNT, ...this.#options.quota};
    const refusal = await entry.process?.gate.charge(
      account as unknown as Parameters<QuotaGate['charge']>[0],
    );
    if (refusal === undefined && entry.process !== undefined) {
      request.passedAtMs = this.nowMs;
    }
  }

  #isOpen(from: OverlapEntry, to: OverlapEntry): boolean {
    return !from.cutOut && !to.cutIn && from.isApart === to.isApart;
  }

  #reaches(from: OverlapEntry, name: string): boolean {
    const to = this.#find(name);
    return (
      to !== undefined &&
      to !== from &&
      to.isRunning &&
      this.#isOpen(from, to) &&
      this.#isOpen(to, from)
    );
  }

  #find(name: string): OverlapEntry | undefined {
    return this.entries.find(entry => entry.name === name);
  }

  #draw({from, spread}: {from: number; spread: number}): number {
    return from + this.#random.nextBelow(spread);
  }

  #later(atMs: number, act: () => void): void {
    this.#pending.push({atMs, act});
  }

  #takePending(): readonly Pending[] {
    const due = this.#pending.filter(({atMs}) => atMs <= this.nowMs);
    const rest = this.#pending.filter(({atMs}) => atMs > this.nowMs);
    this.#pending.splice(0, this.#pending.length, ...rest);
    return due;
  }
}
