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

/** Time for the answer of an entry, by how it is asked, in milliseconds. One that is only asked again in place of another entry is given a few round trips between availability zones. */
const ANSWER_TIMEOUTS_MS: Readonly<Record<QueryKind, number>> = {
  first: 140,
  second: 85,
  forwarded: 35,
  taking: 35,
};

/** Time for which an entry that didn't answer is not asked, in milliseconds: every request would wait for it until it is known to be down. */
const SILENT_MS = 500;

/** Answer of a build that doesn't know a message. */
const UNKNOWN_PATH_STATUS = 404;

/** How an entry is asked. */
export type QueryKind =
  /** It is the granting entry. */
  | 'first'
  /** It is asked because the granting entry didn't answer, and asks that one as well. */
  | 'second'
  /** It is asked by an entry that another one asked. */
  | 'forwarded'
  /** It is asked to hand the right to grant over. */
  | 'taking';

interface Waiter {
  readonly count: number;
  readonly resolve: (grant: QuotaGrant | undefined) => void;
}

/** Requests for one entry that wait for a query. */
interface Line {
  isInFlight: boolean;
  sentAtMs: number;
  waiting: Map<string, Waiter[]>;
}

/** Options of `QuotaClient`. */
export interface QuotaClientOptions {
  readonly members: QuotaMembers;
  readonly client: EntryClient;
  /** For second and forwarded queries: first ones would wait behind them on the same connection, and one without an answer closes it. */
  readonly passingClient: EntryClient;
  /** Called when an entry is asked; the function that it returns takes whether it answered. */
  readonly onAsk: (entry: string) => (isAnswered: boolean) => void;
  /** Called with the tokens of an account for which an entry hands the right over. */
  readonly onReleased: (account: string, tokens: number) => void;
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

  /** Time since a query was sent to a granting entry that it has not answered, in milliseconds; 0 if there is none. */
  unansweredMs(entry: string): number {
    const line = this.#lines.get(`first ${entry}`);
    return line?.isInFlight === true
      ? Math.max(0, this.#options.clock.now() - line.sentAtMs)
      : 0;
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
      sentAtMs: Infinity,
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
    try {
      while (line.waiting.size > 0) {
        await this.#sendNext(entry, kind, line);
      }
    } finally {
      line.isInFlight = false;
    }
  }

  async #sendNext(entry: string, kind: QueryKind, line: Line): Promise<void> {
    const asked = new Map([...line.waiting].slice(0, MAXIMUM_ACCOUNTS));
    asked.forEach((_, account) => line.waiting.delete(account));
    line.sentAtMs = this.#options.clock.now();
    let answer: QuotaAnswer | undefined;
    try {
      answer = await this.#query(entry, kind, asked);
    } finally {
      if (answer === undefined) {
        // Those that arrived meanwhile have waited as well.
        for (const [account, waiters] of line.waiting) {
          asked.set(account, [...(asked.get(account) ?? []), ...waiters]);
        }
        line.waiting.clear();
      }
      const grants = new Map(
        answer?.grants.map(grant => [grant.account, grant]),
      );
      for (const {account, released} of grants.values()) {
        if (released !== undefined && kind === 'taking') {
          this.#options.onReleased(account, released);
        }
      }
      for (const [account, waiters] of asked) {
        divide(waiters, grants.get(account));
      }
    }
  }

  async #query(
    entry: string,
    kind: QueryKind,
    asked: ReadonlyMap<string, readonly Waiter[]>,
  ): Promise<QuotaAnswer | undefined> {
    const {members, counters, clock} = this.#options;
    const isFirst = kind === 'first';
    const client = isFirst ? this.#options.client : this.#options.passingClient;
    const address = members.addressOf(entry);
    if (address === undefined) {
      return undefined;
    }
    const asks = [...asked].map(([account, waiters]) => ({
      account,
      count: waiters.reduce((sum, {count}) => sum + count, 0),
    }));
    counters.queriesSent.add();
    const onAnswer = this.#options.onAsk(entry);
    const answer = await client.postKept({
      address,
      path: QUOTA_PATH,
      body: serializeQuotaQuery({
        asks,
        isForwarded:
          kind === 'forwarded' || kind === 'taking' ? true : undefined,
        ...(kind === 'taking' ? {isTaking: true, asker: members.self} : {}),
      }),
      timeoutMs: ANSWER_TIMEOUTS_MS[kind],
    });
    // Others than those that may have the right are checked by messages with more time.
    if (answer.kind !== 'silent' || kind === 'taking') {
      onAnswer(answer.kind !== 'silent');
    }
    // The others have so little time that a slow answer doesn't mean a lost entry.
    if (answer.kind === 'silent' && isFirst) {
      this.#silentUntilMs.set(entry, clock.now() + SILENT_MS);
    }
    if (answer.kind === 'rejected' && answer.status === UNKNOWN_PATH_STATUS) {
      members.onRejected(entry);
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
