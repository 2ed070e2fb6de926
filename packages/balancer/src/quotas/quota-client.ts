/**
 * Asks granting entries for requests. One query to each entry is in flight at a
 * time; requests that arrive meanwhile share the next one.
 */

import type {QuotaGrant} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import {bodyOf, type EntryClient} from '../feed/entry-client.js';
import {
  MAXIMUM_ACCOUNTS,
  QUOTA_PATH,
  quotaAnswerSchema,
  serializeQuotaQuery,
  type QuotaAnswer,
} from './quota-messages.js';
import type {QuotaCounters} from './quota-counters.js';
import type {QuotaMembers} from './quota-members.js';

/** Time for the answer to a query, in milliseconds: four round trips between availability zones. */
const ANSWER_TIMEOUT_MS = 45;

/** Time for the answer to a query that the entry may have to pass on, in milliseconds. */
const PASSED_ON_TIMEOUT_MS = 100;

/** Time for which an entry that didn't answer is not asked, in milliseconds: every request would wait for it until it is known to be down. */
const SILENT_MS = 500;

/** How an entry is asked. */
export type QueryKind =
  /** It is the granting entry. */
  | 'first'
  /** It is asked because the granting entry didn't answer, and asks that one as well. */
  | 'second'
  /** It is asked by an entry that another one asked. */
  | 'forwarded';

interface Waiter {
  readonly count: number;
  readonly resolve: (grant: QuotaGrant | undefined) => void;
}

/** Requests for one entry that wait for a query. */
interface Line {
  isInFlight: boolean;
  waiting: Map<string, Waiter[]>;
}

/** Options of `QuotaClient`. */
export interface QuotaClientOptions {
  readonly members: QuotaMembers;
  readonly client: EntryClient;
  readonly counters: QuotaCounters;
  readonly clock: Clock;
}

/** Asks for requests. */
export class QuotaClient {
  readonly #options: QuotaClientOptions;
  readonly #lines = new Map<string, Line>();
  readonly #silentUntilMs = new Map<string, number>();

  constructor(options: QuotaClientOptions) {
    this.#options = options;
  }

  /** Whether an entry didn't answer lately. */
  isSilent(entry: string): boolean {
    const untilMs = this.#silentUntilMs.get(entry) ?? -Infinity;
    return this.#options.clock.now() < untilMs;
  }

  /** Asks an entry for requests of an account. Undefined: it didn't answer, or doesn't grant for the account. */
  ask(
    entry: string,
    account: string,
    count: number,
    kind: QueryKind,
  ): Promise<QuotaGrant | undefined> {
    if (this.isSilent(entry)) {
      return Promise.resolve(undefined);
    }
    const key = `${kind} ${entry}`;
    const line = this.#lines.get(key) ?? {
      isInFlight: false,
      waiting: new Map<string, Waiter[]>(),
    };
    this.#lines.set(key, line);
    return new Promise(resolve => {
      const waiters = line.waiting.get(account) ?? [];
      waiters.push({count, resolve});
      line.waiting.set(account, waiters);
      if (!line.isInFlight) {
        void this.#send(entry, kind, line);
      }
    });
  }

  /** Forgets the entries that are not asked at present. */
  onTick(nowMs: number): void {
    for (const [key, line] of this.#lines) {
      if (!line.isInFlight) {
        this.#lines.delete(key);
      }
    }
    for (const [entry, untilMs] of this.#silentUntilMs) {
      if (nowMs >= untilMs) {
        this.#silentUntilMs.delete(entry);
      }
    }
  }

  async #send(entry: string, kind: QueryKind, line: Line): Promise<void> {
    line.isInFlight = true;
    while (line.waiting.size > 0) {
      const asked = new Map([...line.waiting].slice(0, MAXIMUM_ACCOUNTS));
      asked.forEach((_, account) => line.waiting.delete(account));
      const answer = this.isSilent(entry)
        ? undefined
        : await this.#query(entry, kind, asked);
      const grants = new Map(
        answer?.grants.map(grant => [grant.account, grant]),
      );
      for (const [account, waiters] of asked) {
        divide(waiters, grants.get(account));
      }
    }
    line.isInFlight = false;
  }

  async #query(
    entry: string,
    kind: QueryKind,
    asked: ReadonlyMap<string, readonly Waiter[]>,
  ): Promise<QuotaAnswer | undefined> {
    const {members, client, counters, clock} = this.#options;
    const address = members.addressOf(entry);
    if (address === undefined) {
      return undefined;
    }
    const asks = [...asked].map(([account, waiters]) => ({
      account,
      count: waiters.reduce((sum, {count}) => sum + count, 0),
    }));
    counters.queriesSent.add();
    const answer = await client.postKept({
      address,
      path: QUOTA_PATH,
      body: serializeQuotaQuery({
        asks,
        isForwarded: kind === 'forwarded' ? true : undefined,
      }),
      timeoutMs: kind === 'second' ? PASSED_ON_TIMEOUT_MS : ANSWER_TIMEOUT_MS,
    });
    if (answer.kind === 'silent') {
      this.#silentUntilMs.set(entry, clock.now() + SILENT_MS);
    }
    const parsed = quotaAnswerSchema.safeParse(bodyOf(answer));
    return parsed.success ? parsed.data : undefined;
  }
}

/** Gives those that wait what was granted, in order of arrival. */
function divide(
  waiters: readonly Waiter[],
  grant: QuotaAnswer['grants'][number] | undefined,
): void {
  let remaining = grant?.granted;
  for (const {count, resolve} of waiters) {
    if (remaining === undefined) {
      resolve(undefined);
      continue;
    }
    const granted = Math.min(count, remaining);
    remaining -= granted;
    resolve({
      granted,
      comeBackMs: granted === count ? 0 : (grant?.comeBackMs ?? 0),
    });
  }
}
