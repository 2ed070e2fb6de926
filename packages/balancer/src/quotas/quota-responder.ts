/** Answers for what is left of quotas: for this entry's own requests, and for other entries. */

import {setTimeout as sleep} from 'node:timers/promises';
import type {QuotaGrant} from '@wasabidyke/policy';
import type {Moment} from '@wasabidyke/shared';
import type {QuotaClient} from './quota-client.js';
import type {QuotaCounters} from './quota-counters.js';
import type {QuotaGranter} from './quota-granter.js';
import type {QuotaMembers} from './quota-members.js';
import {quotaQuerySchema, serializeQuotaAnswer} from './quota-messages.js';

/** Time after which the second entry is asked as well, in milliseconds: five round trips between availability zones. If both answer, the quota is charged twice, never too little. */
const SECOND_AFTER_MS = 60;

/** Time between two questions for the right to grant requests of an account, in milliseconds. */
const TAKING_INTERVAL_MS = 200;

/** Longest time for which a request waits for a token, in milliseconds: half of what an entry waits for its answer. */
const LONGEST_TOKEN_WAIT_MS = 60;

/** Accounts for which it is remembered when others were asked for the right; forgetting them costs a few queries each. */
const MAXIMUM_ASKED = 20_000;

/** Options of `QuotaResponder`. */
export interface QuotaResponderOptions {
  readonly members: QuotaMembers;
  readonly granter: QuotaGranter;
  readonly client: QuotaClient;
  readonly counters: QuotaCounters;
  readonly now: () => Moment;
}

/** What is answered for one account. */
interface AccountAnswer extends Partial<QuotaGrant> {
  readonly released?: number;
}

/** Answers queries. */
export class QuotaResponder {
  readonly #options: QuotaResponderOptions;
  /** When others were last asked for the right for an account, on the steady clock. */
  readonly #askedAtMs = new Map<string, number>();

  constructor(options: QuotaResponderOptions) {
    this.#options = options;
  }

  /** Finds out whether a request of this entry may run; undefined if no entry says so. */
  ask(
    account: string,
  ): Promise<QuotaGrant | undefined> | QuotaGrant | undefined {
    const {members, granter, now} = this.#options;
    const [first, second] = members.choose(account);
    if (first === members.self) {
      const isRecent = members.right.isRecent(account, -Infinity, now());
      return isRecent
        ? this.#askAsFirst(account, second)
        : (granter.grant(account, 1) ?? this.#askAsFirst(account, second));
    }
    return first === undefined
      ? undefined
      : this.#askOthers(account, first, second);
  }

  /** Answers another entry; undefined if the message can't be read. */
  async onQuery(message: unknown): Promise<string | undefined> {
    const parsed = quotaQuerySchema.safeParse(message);
    if (!parsed.success) {
      return undefined;
    }
    const {asks, isForwarded = false, isTaking = false, asker} = parsed.data;
    const grants = await Promise.all(
      asks.map(async ({account, count}) => {
        const answer = isTaking
          ? this.#answerTaker(account, count, asker ?? '')
          : await (isForwarded
              ? this.#grantIfFirst(account, count)
              : this.#grantOrForward(account, count));
        return {account, ...answer};
      }),
    );
    if (asks.length > 0) {
      this.#options.counters.queriesAnswered.add();
    }
    return serializeQuotaAnswer({grants});
  }

  #askOthers(
    account: string,
    first: string,
    second: string | undefined,
  ): Promise<QuotaGrant | undefined> {
    const {client} = this.#options;
    const afterMs = Math.max(0, SECOND_AFTER_MS - client.unansweredMs(first));
    const asked = client.ask(first, account, 1, 'first');
    return askInTurn(asked, () => this.#askStandIn(account, second), afterMs);
  }

  async #askStandIn(
    account: string,
    second: string | undefined,
  ): Promise<QuotaGrant | undefined> {
    if (second === undefined) {
      return undefined;
    }
    return second === this.#options.members.self
      ? this.#grantAnyway(account, 1)
      : this.#options.client.ask(second, account, 1, 'second');
  }

  /** An entry that is the first, but has no right yet, may be relieved by the second one as well. */
  async #askAsFirst(
    account: string,
    second: string | undefined,
  ): Promise<QuotaGrant | undefined> {
    const grant = await this.#grantAsFirst(account, 1);
    return grant ?? this.#askStandIn(account, second);
  }

  /** Hands the right over to the entry that takes over, or else grants by it. */
  #answerTaker(account: string, count: number, asker: string): AccountAnswer {
    const {granter} = this.#options;
    const released = granter.release(account, asker);
    return released === undefined
      ? {...granter.grant(account, count)}
      : {released};
  }

  async #grantIfFirst(
    account: string,
    count: number,
  ): Promise<QuotaGrant | undefined> {
    const {members, granter} = this.#options;
    return members.choose(account).at(0) === members.self
      ? this.#grantAsFirst(account, count)
      : granter.grant(account, count);
  }

  /** An entry that is asked although another one was chosen asks that one first: only its own link may have failed the asker. */
  async #grantOrForward(
    account: string,
    count: number,
  ): Promise<QuotaGrant | undefined> {
    const {members, granter, client} = this.#options;
    const first = members.choose(account).at(0);
    if (first === members.self) {
      return this.#grantAsFirst(account, count);
    }
    if (first !== undefined && granter.isReady) {
      const passedOn = await client.ask(first, account, count, 'forwarded');
      if (passedOn !== undefined) {
        return passedOn;
      }
    }
    return this.#grantAnyway(account, count);
  }

  /** Grants for an entry that doesn't answer: by the right that it hasn't taken over yet, or without. */
  #grantAnyway(account: string, count: number): QuotaGrant | undefined {
    const {granter} = this.#options;
    return (
      granter.grant(account, count) ?? granter.grantInDoubt(account, count)
    );
  }

  /** Grants by the right to, which is taken over from its former holder if that still answers. */
  async #grantAsFirst(
    account: string,
    count: number,
  ): Promise<QuotaGrant | undefined> {
    const {granter} = this.#options;
    const grant = this.#mustTake(account)
      ? undefined
      : granter.grant(account, count);
    return this.#grantSoon(
      account,
      count,
      grant ??
        (await this.#take(account, count)) ??
        granter.grantInDoubt(account, count),
    );
  }

  /** Whether others are asked for the right before this entry grants by it: they may not know yet that it is the first. */
  #mustTake(account: string): boolean {
    const {members, now} = this.#options;
    const askedAtMs = this.#askedAtMs.get(account) ?? -Infinity;
    return members.right.isRecent(account, askedAtMs, now());
  }

  /** Asks those for the right that may have it; one that still needs it grants by it. */
  async #take(account: string, count: number): Promise<QuotaGrant | undefined> {
    const {members, granter, client, now} = this.#options;
    const {steadyMs} = now();
    const askedAtMs = this.#askedAtMs.get(account) ?? -Infinity;
    const isTooSoon = steadyMs - askedAtMs < TAKING_INTERVAL_MS;
    if (!granter.isReady || (isTooSoon && !this.#mustTake(account))) {
      return undefined;
    }
    if (this.#askedAtMs.size >= MAXIMUM_ASKED) {
      this.#askedAtMs.clear();
    }
    const holders = members.right.listHolders(account);
    const answers = await Promise.all(
      holders.map(holder => client.ask(holder, account, count, 'taking')),
    );
    this.#askedAtMs.set(account, steadyMs);
    const passedOn = answers.find(answer => answer !== undefined);
    if (passedOn !== undefined) {
      // Its holder doesn't know yet that this entry is the first, and is asked again.
      this.#askedAtMs.delete(account);
      granter.defer(account);
    }
    // What was handed over has been accepted before the answers are there.
    return passedOn ?? granter.grant(account, count);
  }

  /** A right that has just begun has an empty bucket: a request waits for the next token if that is there soon. */
  async #grantSoon(
    account: string,
    count: number,
    grant: QuotaGrant | undefined,
  ): Promise<QuotaGrant | undefined> {
    const {members, granter, now} = this.#options;
    const isSoon =
      grant?.granted === 0 && grant.comeBackMs <= LONGEST_TOKEN_WAIT_MS;
    if (!isSoon || !members.right.isRecent(account, -Infinity, now())) {
      return grant;
    }
    await sleep(grant.comeBackMs);
    return granter.grant(account, count) ?? grant;
  }
}

/** Returns the first grant; asks the next entry when the one that was asked has none, or doesn't answer soon. */
function askInTurn(
  first: Promise<QuotaGrant | undefined>,
  askNext: () => Promise<QuotaGrant | undefined>,
  afterMs: number,
): Promise<QuotaGrant | undefined> {
  return new Promise((resolve, reject) => {
    let next: Promise<QuotaGrant | undefined> | undefined;
    const turn = () => {
      next ??= askNext();
      return next;
    };
    const timer = setTimeout(() => {
      turn().then(grant => grant && resolve(grant), reject);
    }, afterMs);
    first
      .then(grant => {
        clearTimeout(timer);
        return grant ?? turn();
      })
      .then(resolve, reject);
  });
}
