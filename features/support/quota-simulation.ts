/** Entries that keep the quotas of accounts, without a network: each message arrives at once or not at all. */

import {
  AccountGranting,
  GrantingEntryChoice,
  QuotaReserve,
  SeededRandom,
  type GrantingScope,
} from '@wasabidyke/policy';
import type {Moment} from '@wasabidyke/shared';
import type {QuotaResult, QuotaRun} from './quota-run.js';
import {SimulatedEntry, type Grant} from './quota-simulated-entry.js';
import {
  FAULT_MS,
  LENGTH_MS,
  QuotaLoad,
  STEP_MS,
  TOLERANCE,
  worstPart,
  type SimulatedAccount,
} from './quota-load.js';

interface Loan {
  readonly granting: AccountGranting;
  readonly count: number;
  readonly arrivesAtMs: number;
}

const REGIONS = ['east', 'north', 'west'];
/** Refusals before that are those of a start of all entries, which is a case of its own. */
const COUNTED_FROM_MS = 10_000;
/** Time until entries know that others are down or out of reach. */
const DETECTION_MS = 2_000;
/** Time until a lost entry is not announced any more. */
const LEASE_MS = 10_000;
/** Accounts that surge, by fault. */
const SURGING: Readonly<Record<string, number | undefined>> = {
  surge: 1,
  'surge of all': Infinity,
};
/** Entries that are asked in place of the first one. */
const STAND_INS = 1;
const EXCHANGE_MS = 500;
/** Time until borrowed tokens arrive from another region; other messages arrive at once. */
const ROUND_TRIP_MS = 50;
const START_MS = 500;
/** Time between looks at which entries are up. */
const TICK_MS = 100;

/** Simulates one minute. */
export class QuotaSimulation {
  readonly #run: QuotaRun;
  readonly #random: SeededRandom;
  readonly #entries: SimulatedEntry[];
  readonly #load: QuotaLoad;
  readonly #choices = new Map<string, GrantingEntryChoice>();
  readonly #asked = new Set<string>();
  /** Tokens on their way to other regions. */
  readonly #loans: Loan[] = [];
  #nowMs = 0;
  #messages = 0;
  #crossRegion = 0;

  constructor(run: QuotaRun) {
    this.#run = run;
    this.#random = new SeededRandom(run.seed);
    this.#entries = Array.from(
      {length: run.entries},
      (_, index) =>
        new SimulatedEntry(
          `entry-${index}`,
          REGIONS[index % REGIONS.length],
          run.design === 'equal' ? REGIONS.length : 1,
          run.design === 'single' ? 1 : REGIONS.length,
        ),
    );
    this.#load = new QuotaLoad(SURGING[run.fault] ?? 0, this.#random);
  }

  run(): QuotaResult {
    let within = 0;
    let refused = 0;
    for (; this.#nowMs < LENGTH_MS; this.#nowMs += STEP_MS) {
      if (this.#nowMs === FAULT_MS) {
        this.#fail();
      }
      if (this.#nowMs % TICK_MS === 0) {
        this.#entries.forEach(entry => this.#applyView(entry));
      }
      this.#asked.clear();
      while ((this.#loans.at(0)?.arrivesAtMs ?? Infinity) <= this.#nowMs) {
        const loan = this.#loans.shift();
        loan?.granting.onLent(loan.count, this.#nowMs);
      }
      for (const account of this.#load.accounts) {
        for (const [index, region] of REGIONS.entries()) {
          const count = this.#load.arrivals(account, index, this.#nowMs);
          for (let request = 0; request < count; request++) {
            const isWithin =
              account.reference.take(1, this.#nowMs).granted === 1;
            const isPassed = this.#call(account, region);
            account.passed[this.#nowMs / STEP_MS] += Number(isPassed);
            const isCounted = isWithin && this.#nowMs >= COUNTED_FROM_MS;
            within += Number(isCounted);
            refused += Number(isCounted && !isPassed);
          }
        }
      }
      if (this.#run.design === 'shares' && this.#nowMs % EXCHANGE_MS === 0) {
        this.#exchange();
      }
    }
    return {
      worstPart: Math.max(...this.#load.accounts.map(worstPart)),
      within,
      refused,
      messagesPerSecond: (this.#messages * 1_000) / LENGTH_MS,
      crossRegionPerSecond: (this.#crossRegion * 1_000) / LENGTH_MS,
    };
  }

  #fail(): void {
    const {fault} = this.#run;
    const [largest] = this.#load.accounts;
    const lost =
      fault === 'entry lost'
        ? this.#entries[0].name
        : fault === 'granting entry lost'
          ? this.#choose(this.#entries[0], this.#entries[0].region, largest)[0]
          : undefined;
    for (const [index, entry] of this.#entries.entries()) {
      entry.isUp = entry.name !== lost;
      entry.group = fault === 'half cut off' ? (index >> 1) & 1 : 0;
      if (fault === 'all restarted') {
        entry.restart(this.#nowMs + START_MS);
      }
    }
    if (fault === 'limit lowered') {
      const {requestsPerSecond, burst} = largest.quota;
      const quota = {
        requestsPerSecond: requestsPerSecond / 10,
        burst: burst / 10,
      };
      largest.quota = quota;
      largest.sinceMs = this.#nowMs;
      largest.reference.apply(
        quota.requestsPerSecond,
        quota.burst,
        this.#nowMs,
      );
    }
  }

  /** A request; one that no entry could decide on goes to another entry once. */
  #call(account: SimulatedAccount, region: string): boolean {
    const own = this.#entries.filter(
      entry => entry.region === region && entry.isUp,
    );
    for (let attempt = 0; attempt < 2; attempt++) {
      const entry = own[this.#random.nextBelow(own.length)];
      const grant = this.#ask(entry, account);
      if (grant !== undefined) {
        return grant.granted > 0;
      }
      const reserve =
        entry.reserves.get(account) ??
        new QuotaReserve(TOLERANCE, this.#random);
      entry.reserves.set(account, reserve);
      if (reserve.take(account.quota, this.#run.entries, this.#nowMs)) {
        return true;
      }
    }
    return false;
  }

  #ask(entry: SimulatedEntry, account: SimulatedAccount): Grant {
    const [first, ...others] = this.#choose(entry, entry.region, account);
    const grant = this.#query(entry, first, account);
    const helper = others
      .slice(0, STAND_INS)
      .map(name => this.#reach(entry, name))
      .find(found => found !== undefined);
    if (grant !== undefined || helper === undefined) {
      return grant;
    }
    return (
      this.#query(helper, first, account) ??
      this.#query(entry, helper.name, account) ??
      helper.grantInDoubt(account, this.#nowMs)
    );
  }

  #query(from: SimulatedEntry, name: string, account: SimulatedAccount): Grant {
    const entry = this.#reach(from, name);
    if (entry === undefined) {
      return undefined;
    }
    const pair = `${from.name} ${name}`;
    if (entry !== from && !this.#asked.has(pair)) {
      this.#asked.add(pair);
      this.#count(from, entry);
    }
    const isFirst = this.#choose(entry, entry.region, account)[0] === name;
    return (
      this.#grant(entry, account) ??
      (isFirst ? entry.grantInDoubt(account, this.#nowMs) : undefined)
    );
  }

  /** Grants one request by the right to. */
  #grant(entry: SimulatedEntry, account: SimulatedAccount): Grant {
    const scope = this.#scope(entry);
    const grant = entry.grant(account, scope, this.#nowMs, begun => {
      if (this.#run.design === 'shares') {
        this.#tell(entry, account, begun);
      }
    });
    const granting = entry.grants.get(account);
    if (grant === undefined || granting === undefined) {
      return undefined;
    }
    const wanted = granting.account.takeWant(this.#nowMs);
    if (wanted > 0 && scope.otherRegions.length > 0) {
      this.#borrow(entry, account, granting.account, wanted);
    }
    return grant;
  }

  get #moment(): Moment {
    return {steadyMs: this.#nowMs, elapsedMs: this.#nowMs};
  }

  /** Tells an entry which others are announced and up; those that it reaches answer its checks. */
  #applyView(entry: SimulatedEntry): void {
    const isOne = this.#run.design === 'single';
    const isExpired = this.#nowMs >= FAULT_MS + LEASE_MS;
    const own = this.#entries.filter(
      ({region}) => isOne || region === entry.region,
    );
    const announced = own.filter(({isUp}) => isUp || !isExpired);
    const seen = own.filter(other => this.#isSeen(entry, other));
    entry.right.applyEntries(
      seen.map(({name}) => name),
      announced.map(({name}) => name),
      this.#moment,
    );
    const answering = own.find(
      other => other !== entry && this.#reach(entry, other.name),
    );
    if (answering !== undefined) {
      entry.right.onContact(answering.name, this.#nowMs, this.#moment);
    }
  }

  #borrow(
    entry: SimulatedEntry,
    account: SimulatedAccount,
    granting: AccountGranting,
    wanted: number,
  ): void {
    for (const region of REGIONS.filter(other => other !== entry.region)) {
      const [name] = this.#choose(entry, region, account);
      const lender = name === undefined ? undefined : this.#reach(entry, name);
      if (lender !== undefined) {
        this.#count(entry, lender);
        const {quota} = account;
        const scope = this.#scope(lender);
        const isHeld = lender.findSince(account, this.#nowMs) !== undefined;
        const lent = isHeld
          ? lender.grants
              .get(account)
              ?.account.lend(wanted, quota, scope, this.#nowMs)
          : 0;
        const arrivesAtMs = this.#nowMs + ROUND_TRIP_MS;
        this.#loans.push({granting, count: lent ?? 0, arrivesAtMs});
      }
    }
  }

  #exchange(): void {
    for (const entry of this.#entries) {
      for (const [account, granting] of entry.grants) {
        const isOwn =
          this.#choose(entry, entry.region, account)[0] === entry.name;
        if (isOwn && entry.isUp && granting.heldAtMs > -Infinity) {
          this.#tell(entry, account, granting.account);
        }
      }
    }
  }

  #tell(
    entry: SimulatedEntry,
    account: SimulatedAccount,
    granting: AccountGranting,
  ): void {
    const {demand} = granting;
    const isStart = !demand.isStarted;
    const others = REGIONS.filter(region => region !== entry.region);
    const news = granting.takeNews(account.quota, others, this.#nowMs);
    if (news === undefined) {
      return;
    }
    const known: number[] = [];
    for (const region of others) {
      const [name] = this.#choose(entry, region, account);
      const other = name === undefined ? undefined : this.#reach(entry, name);
      if (other !== undefined) {
        this.#count(entry, other);
        const heard = other.grants.get(account)?.account.demand;
        const former = isStart ? (heard?.heardOf(entry.region) ?? 0) : 0;
        known.push(Math.max(news, former));
        heard?.onHeard(entry.region, Math.max(news, former));
        demand.onHeard(region, heard?.applied ?? 0);
      }
    }
    if (known.length === REGIONS.length - 1) {
      if (isStart) {
        demand.start(Math.min(...known));
      } else {
        demand.onAllAnswered(news);
      }
    }
  }

  #count(from: SimulatedEntry, to: SimulatedEntry): void {
    this.#messages += 1;
    this.#crossRegion += Number(from.region !== to.region);
  }

  #reach(from: SimulatedEntry, name: string): SimulatedEntry | undefined {
    const entry = this.#entries.find(candidate => candidate.name === name);
    const isReached =
      entry?.isUp === true &&
      entry.group === from.group &&
      entry.readyAtMs <= this.#nowMs;
    return isReached ? entry : undefined;
  }

  /** Whether an entry believes that another one is up. */
  #isSeen(from: SimulatedEntry, other: SimulatedEntry): boolean {
    const isDetected = this.#nowMs >= FAULT_MS + DETECTION_MS;
    return !isDetected || (other.isUp && other.group === from.group);
  }

  #scope(entry: SimulatedEntry): GrantingScope {
    return {
      otherRegions:
        this.#run.design === 'shares'
          ? REGIONS.filter(region => region !== entry.region)
          : [],
      part: entry.right.part(this.#moment),
    };
  }

  #choose(
    entry: SimulatedEntry,
    region: string,
    account: SimulatedAccount,
  ): readonly string[] {
    const isOne = this.#run.design === 'single';
    const isDetected = this.#nowMs >= FAULT_MS + DETECTION_MS;
    const key = `${isOne || region} ${entry.group} ${isDetected}`;
    const known = this.#choices.get(key) ?? new GrantingEntryChoice();
    if (!this.#choices.has(key)) {
      this.#choices.set(key, known);
      known.applyEntries(
        this.#entries
          .filter(other => isOne || other.region === region)
          .filter(other => this.#isSeen(entry, other))
          .map(({name}) => name),
      );
    }
    return known.choose(account.name);
  }
}
