/** Lets requests of accounts with a quota through, or refuses them. */

import {
  QuotaReserve,
  retryAfterMs,
  type QuotaGrant,
  type QuotaTolerance,
  type RandomSource,
} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import type {DecisionLog} from '../reporting/decision-log.js';
import type {ClientAccount} from '../routing/routing-configuration.js';
import type {Refusal} from '../serving/routed-request.js';
import type {QuotaCounters} from './quota-counters.js';
import type {QuotaGranter} from './quota-granter.js';
import type {QuotaMembers} from './quota-members.js';
import type {QuotaResponder} from './quota-responder.js';

/** Options of `QuotaGate`. */
export interface QuotaGateOptions {
  readonly members: QuotaMembers;
  readonly granter: QuotaGranter;
  readonly responder: QuotaResponder;
  readonly counters: QuotaCounters;
  readonly tolerance: () => QuotaTolerance;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
}

/** Longest wait for an answer, in milliseconds. */
const MAXIMUM_WAIT_MS = 150;

/** Delay after which a caller that got no answer may try another entry, in milliseconds. */
const UNKNOWN_RETRY_AFTER_MS = 50;

/** Time after its start in which an entry uses no reserve, in milliseconds: it may not know yet among how many the reserve is divided. */
const RESERVE_START_MS = 5_000;

/** Factor on the number of known entries that allows for entries that are joining. */
const JOINING_FACTOR = 1.4;

/** Time between log lines that tell of the reserve of the same account, in milliseconds. */
const LOG_INTERVAL_MS = 5_000;

/** Accounts of which a reserve is kept; more than use one entry. */
const MAXIMUM_RESERVES = 20_000;

interface AccountReserve {
  readonly reserve: QuotaReserve;
  loggedAtMs: number;
}

/** What becomes of a request: undefined if it may run. */
export type QuotaDecision = Refusal | undefined;

/** Decides by quotas. */
export class QuotaGate {
  readonly #options: QuotaGateOptions;
  readonly #startedAtMs: number;
  readonly #reserves = new Map<string, AccountReserve>();

  constructor(options: QuotaGateOptions) {
    this.#options = options;
    this.#startedAtMs = options.clock.now();
  }

  /** Decides whether a request may run; at once for accounts without a quota. */
  charge(
    account: ClientAccount | undefined,
  ): QuotaDecision | Promise<QuotaDecision> {
    if (account === undefined || account.requestsPerSecond === 0) {
      return undefined;
    }
    const asked = this.#options.responder.ask(account.name);
    return asked instanceof Promise
      ? this.#wait(account, asked)
      : this.#decide(account, asked);
  }

  async #wait(
    account: ClientAccount,
    asked: Promise<QuotaGrant | undefined>,
  ): Promise<QuotaDecision> {
    let timer: NodeJS.Timeout | undefined;
    const overdue = new Promise<undefined>(resolve => {
      timer = setTimeout(() => resolve(undefined), MAXIMUM_WAIT_MS);
    });
    const grant = await Promise.race([asked, overdue]);
    clearTimeout(timer);
    return this.#decide(account, grant);
  }

  #decide(
    account: ClientAccount,
    grant: QuotaGrant | undefined,
  ): QuotaDecision {
    const {counters, random} = this.#options;
    if (grant === undefined) {
      return this.#useReserve(account);
    }
    if (grant.granted > 0) {
      counters.granted.add();
      return undefined;
    }
    counters.refused.add();
    return {
      reason: 'over-quota',
      isNotRun: true,
      retryAfterMs: retryAfterMs(1, grant.comeBackMs, random),
    };
  }

  #useReserve(account: ClientAccount): QuotaDecision {
    const {members, clock, counters, granter, random} = this.#options;
    const nowMs = clock.now();
    const kept = this.#findReserve(account.name);
    const isEarly = nowMs - this.#startedAtMs < RESERVE_START_MS;
    const entries = Math.ceil(members.size * JOINING_FACTOR);
    const isTaken = !isEarly && kept.reserve.take(account, entries, nowMs);
    if (nowMs - kept.loggedAtMs >= LOG_INTERVAL_MS) {
      kept.loggedAtMs = nowMs;
      this.#options.log.record('quota.unanswered', {
        account: account.name,
        asked: members.choose(account.name).join(' '),
        part: members.scope.part,
        isReserveUsed: isTaken,
      });
    }
    if (isTaken) {
      counters.reserved.add();
      return undefined;
    }
    counters.unknown.add();
    const startsInMs = granter.startsInMs(account.name);
    const waitMs = Math.max(UNKNOWN_RETRY_AFTER_MS, startsInMs);
    return {
      reason: 'quota-unknown',
      isNotRun: true,
      retryAfterMs: retryAfterMs(1, waitMs, random),
    };
  }

  #findReserve(account: string): AccountReserve {
    const known = this.#reserves.get(account);
    if (known !== undefined) {
      return known;
    }
    if (this.#reserves.size >= MAXIMUM_RESERVES) {
      this.#reserves.clear();
    }
    const {tolerance, random} = this.#options;
    const reserve = new QuotaReserve(tolerance(), random);
    const created = {reserve, loggedAtMs: -Infinity};
    this.#reserves.set(account, created);
    return created;
  }
}
