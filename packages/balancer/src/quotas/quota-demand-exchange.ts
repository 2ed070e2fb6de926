/** Tells the granting entries of other regions what is asked for in this one, and takes theirs. */

import type {AccountGranting} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import {bodyOf, type EntryClient} from '../feed/entry-client.js';
import type {QuotaCounters} from './quota-counters.js';
import type {QuotaGranter} from './quota-granter.js';
import type {QuotaMembers} from './quota-members.js';
import {
  MAXIMUM_ACCOUNTS,
  MAXIMUM_COUNT,
  QUOTA_DEMAND_PATH,
  quotaDemandSchema,
  serializeQuotaDemand,
  type QuotaDemandMessage,
} from './quota-messages.js';

/** Options of `QuotaDemandExchange`. */
export interface QuotaDemandExchangeOptions {
  readonly members: QuotaMembers;
  readonly granter: () => QuotaGranter;
  readonly client: EntryClient;
  readonly counters: QuotaCounters;
  readonly clock: Clock;
  /** Whether any account is configured; without one, no message is sent. */
  readonly hasAccounts: () => boolean;
}

/** Time between messages, in milliseconds. */
const EXCHANGE_INTERVAL_MS = 500;

/** Time for an answer, in milliseconds: several round trips between regions. */
const ANSWER_TIMEOUT_MS = 400;

/** Time without a word from another region after which an entry of it is sent an empty message, in milliseconds: only an entry that hears from none and has lost the store is cut off. */
const PROBE_AFTER_MS = 3_000;

/** News of one account. */
interface News {
  readonly account: AccountGranting;
  readonly name: string;
  readonly perSecond: number;
  /** Regions that have not answered. */
  readonly silent: Set<string>;
  /** Whether this entry has just begun to grant, and takes over what its region told before. */
  readonly isStart: boolean;
  /** Lowest demand of this region that another one counts. */
  known: number;
}

/** Exchanges demand. */
export class QuotaDemandExchange {
  readonly #options: QuotaDemandExchangeOptions;
  #heardAtMs: number;
  #timer: NodeJS.Timeout | undefined;
  #soon: NodeJS.Timeout | undefined;

  constructor(options: QuotaDemandExchangeOptions) {
    this.#options = options;
    this.#heardAtMs = options.clock.now();
  }

  /** When an entry of another region was last heard from, on the monotonic clock in milliseconds. */
  get heardAtMs(): number {
    return this.#heardAtMs;
  }

  start(): void {
    this.#timer = setInterval(() => this.#tell(), EXCHANGE_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
    clearTimeout(this.#soon);
  }

  /** Tells at once, with what else begins now: a new granting entry doesn't know the demand of other regions. */
  tellSoon(): void {
    this.#soon ??= setTimeout(() => {
      this.#soon = undefined;
      this.#tell();
    }, 0);
  }

  /** Borrows tokens of an account from each other region. */
  borrow(name: string, account: AccountGranting, wanted: number): void {
    const {members} = this.#options;
    for (const region of members.scope.otherRegions) {
      const entry = members.findGranting(region, name);
      if (entry !== undefined) {
        void this.#borrowFrom(entry, name, account, wanted);
      }
    }
  }

  /** Takes the demand of another region; undefined if the message can't be read. */
  onDemand(message: unknown): string | undefined {
    const parsed = quotaDemandSchema.safeParse(message);
    if (!parsed.success) {
      return undefined;
    }
    const {region, demands} = parsed.data;
    const {members, granter} = this.#options;
    this.#heardAtMs = this.#options.clock.now();
    const answers = demands.map(demand => {
      const {account, perSecond, isStart = false, wanted = 0} = demand;
      const granting = granter().find(account);
      const former = isStart ? (granting?.demand.heardOf(region) ?? 0) : 0;
      const knownPerSecond = Math.max(perSecond, former);
      granting?.demand.onHeard(region, knownPerSecond);
      const own = granting?.demand.applied ?? 0;
      const lent = wanted > 0 ? granter().lend(account, wanted) : undefined;
      return {account, perSecond: own, knownPerSecond, lent};
    });
    return serializeQuotaDemand({region: members.region, demands: answers});
  }

  #tell(): void {
    const {members, granter, clock, hasAccounts} = this.#options;
    if (!hasAccounts()) {
      return;
    }
    const {otherRegions} = members.scope;
    const nowMs = clock.now();
    const news: News[] = [];
    for (const [name, account, quota] of granter().list()) {
      // An entry that stands in for the chosen one sees a part of the demand, and must not lower what others count.
      const isChosen = members.choose(name).at(0) === members.self;
      if (!isChosen && account.demand.isStarted) {
        continue;
      }
      const perSecond = account.takeNews(quota, otherRegions, nowMs);
      if (perSecond !== undefined) {
        const silent = new Set(otherRegions);
        const isStart = !account.demand.isStarted;
        const known = Infinity;
        news.push({account, name, perSecond, isStart, silent, known});
      }
    }
    if (otherRegions.length === 0) {
      news.forEach(({account, perSecond}) =>
        account.demand.onAllAnswered(perSecond),
      );
      return;
    }
    const isProbe = nowMs - this.#heardAtMs > PROBE_AFTER_MS;
    for (const region of otherRegions) {
      this.#tellRegion(region, news);
      const entry = members.findGranting(region, members.self);
      if (isProbe && entry !== undefined) {
        void this.#tellEntry(entry, region, []);
      }
    }
  }

  #tellRegion(region: string, news: readonly News[]): void {
    const byEntry = new Map<string, News[]>();
    for (const item of news) {
      const entry = this.#options.members.findGranting(region, item.name);
      if (entry !== undefined) {
        byEntry.set(entry, [...(byEntry.get(entry) ?? []), item]);
      }
    }
    for (const [entry, items] of byEntry) {
      for (let start = 0; start < items.length; start += MAXIMUM_ACCOUNTS) {
        const part = items.slice(start, start + MAXIMUM_ACCOUNTS);
        void this.#tellEntry(entry, region, part);
      }
    }
  }

  async #tellEntry(
    entry: string,
    region: string,
    news: readonly News[],
  ): Promise<void> {
    const demands = news.map(({name, perSecond, isStart}) => ({
      account: name,
      perSecond,
      isStart: isStart || undefined,
    }));
    const answer = await this.#send(entry, demands);
    if (answer !== undefined) {
      this.#onAnswer(region, news, answer);
    }
  }

  async #borrowFrom(
    entry: string,
    name: string,
    account: AccountGranting,
    wanted: number,
  ): Promise<void> {
    const {clock} = this.#options;
    const perSecond = account.demand.told;
    const answer = await this.#send(entry, [
      {account: name, perSecond, wanted: Math.min(wanted, MAXIMUM_COUNT)},
    ]);
    const lent = answer?.demands.at(0)?.lent ?? 0;
    if (lent > 0) {
      account.onLent(lent, clock.now());
    }
  }

  async #send(
    entry: string,
    demands: QuotaDemandMessage['demands'],
  ): Promise<QuotaDemandMessage | undefined> {
    const {members, client, counters, clock} = this.#options;
    counters.demandsSent.add();
    const answer = await client.postKept({
      address: members.addressOf(entry) ?? '',
      path: QUOTA_DEMAND_PATH,
      body: serializeQuotaDemand({region: members.region, demands}),
      timeoutMs: ANSWER_TIMEOUT_MS,
    });
    const parsed = quotaDemandSchema.safeParse(bodyOf(answer));
    if (!parsed.success) {
      return undefined;
    }
    this.#heardAtMs = clock.now();
    return parsed.data;
  }

  #onAnswer(
    region: string,
    news: readonly News[],
    {demands}: QuotaDemandMessage,
  ): void {
    const answers = new Map(demands.map(demand => [demand.account, demand]));
    for (const item of news) {
      const answer = answers.get(item.name);
      if (answer !== undefined) {
        item.account.demand.onHeard(region, answer.perSecond);
        item.silent.delete(region);
        item.known = Math.min(item.known, answer.knownPerSecond ?? 0);
        if (item.silent.size === 0) {
          onAllAnswered(item);
        }
      }
    }
  }
}

function onAllAnswered({account, isStart, perSecond, known}: News): void {
  if (isStart) {
    account.demand.start(known);
  } else {
    account.demand.onAllAnswered(perSecond);
  }
}
