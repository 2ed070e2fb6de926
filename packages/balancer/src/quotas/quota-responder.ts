/** Answers for what is left of quotas: for this entry's own requests, and for other entries. */

import type {QuotaGrant} from '@wasabidyke/policy';
import type {QuotaClient} from './quota-client.js';
import type {QuotaCounters} from './quota-counters.js';
import type {QuotaGranter} from './quota-granter.js';
import type {QuotaMembers} from './quota-members.js';
import {quotaQuerySchema, serializeQuotaAnswer} from './quota-messages.js';

/** Time after which the second entry is asked as well, in milliseconds: five round trips between availability zones. If both answer, the quota is charged twice, never too little. */
const SECOND_AFTER_MS = 60;

/** Options of `QuotaResponder`. */
export interface QuotaResponderOptions {
  readonly members: QuotaMembers;
  readonly granter: QuotaGranter;
  readonly client: QuotaClient;
  readonly counters: QuotaCounters;
}

/** Answers queries. */
export class QuotaResponder {
  readonly #options: QuotaResponderOptions;

  constructor(options: QuotaResponderOptions) {
    this.#options = options;
  }

  /** Finds out whether a request of this entry may run; undefined if no entry says so. */
  ask(
    account: string,
  ): Promise<QuotaGrant | undefined> | QuotaGrant | undefined {
    const {members, granter} = this.#options;
    const [first, second] = members.choose(account);
    if (first === members.self && granter.isReady) {
      return granter.grant(account, 1);
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
    const {asks, isForwarded = false} = parsed.data;
    const grants = await Promise.all(
      asks.map(async ({account, count}) => {
        const grant = await (isForwarded
          ? this.#options.granter.grant(account, count)
          : this.#grantOrForward(account, count));
        return {account, ...grant};
      }),
    );
    this.#options.counters.queriesAnswered.add();
    return serializeQuotaAnswer({grants});
  }

  async #askOthers(
    account: string,
    first: string,
    second: string | undefined,
  ): Promise<QuotaGrant | undefined> {
    const {members, client} = this.#options;
    const askSecond = async () => {
      if (second === undefined) {
        return undefined;
      }
      return second === members.self
        ? this.#options.granter.grant(account, 1)
        : client.ask(second, account, 1, 'second');
    };
    if (first === members.self) {
      return askSecond();
    }
    const afterMs = Math.max(0, SECOND_AFTER_MS - client.unansweredMs(first));
    const asked = client.ask(first, account, 1, 'first');
    return askInTurn(asked, askSecond, afterMs);
  }

  /** An entry that is asked although another one was chosen asks that one first: only its own link may have failed the asker. */
  async #grantOrForward(
    account: string,
    count: number,
  ): Promise<QuotaGrant | undefined> {
    const {members, granter, client} = this.#options;
    const first = members.choose(account).at(0);
    const isOther = first !== undefined && first !== members.self;
    if (isOther && granter.isReady) {
      const passedOn = await client.ask(first, account, count, 'forwarded');
      if (passedOn !== undefined) {
        return passedOn;
      }
    }
    return granter.grant(account, count);
  }
}

/** Returns the first grant; asks the second entry when the first one has none, or doesn't answer soon. */
function askInTurn(
  first: Promise<QuotaGrant | undefined>,
  askSecond: () => Promise<QuotaGrant | undefined>,
  afterMs: number,
): Promise<QuotaGrant | undefined> {
  return new Promise((resolve, reject) => {
    let second: Promise<QuotaGrant | undefined> | undefined;
    const turn = () => {
      second ??= askSecond();
      return second;
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
