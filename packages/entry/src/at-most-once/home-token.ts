/**
 * Home tokens. The idempotency key of a request that must run at most once
 * begins with one. It names an entry, the incarnation of its process and the
 * second of issue. Only that process, the home of the key, runs the request,
 * so a resend to any entry reaches the one ledger that has a record of it.
 */

import type {Clock} from '@wasabidyke/shared';

/** The parts of a home token. */
export interface HomeToken {
  readonly entry: string;
  /** Random; new at each start of the process. */
  readonly incarnation: string;
  /** Seconds from the start of the process to the issue of the token. */
  readonly issue: number;
}

/** An idempotency key with its parsed home token. */
export interface HomeKey {
  readonly home: HomeToken;
  /** The complete key as sent. */
  readonly key: string;
}

/** Longest idempotency key, in characters. */
const MAXIMUM_KEY_LENGTH = 256;

const KEY_PATTERN =
  /^([a-z0-9-]{1,63})\.([A-Za-z0-9_-]{8,32})\.(\d{1,10}):([\x21-\x7e]{1,128})$/;

const MILLISECONDS_PER_ISSUE = 1_000;

/** Formats a token. */
export function formatHomeToken(token: HomeToken): string {
  return `${token.entry}.${token.incarnation}.${token.issue}`;
}

/** Parses an idempotency key; undefined when the key is invalid. */
export function parseHomeKey(key: string): HomeKey | undefined {
  const match = KEY_PATTERN.exec(key);
  if (key.length > MAXIMUM_KEY_LENGTH || match === null) {
    return undefined;
  }
  const [, entry, incarnation, issue] = match;
  return {home: {entry, incarnation, issue: Number(issue)}, key};
}

/** Number for the issue of tokens: rises by about one a second and is announced to other entries. */
export abstract class IssueCounter {
  abstract get issue(): number;
}

/** Counts the seconds since its creation; used when there are no other entries. */
export class ClockIssueCounter extends IssueCounter {
  readonly #clock: Clock;
  readonly #startedAtMs: number;

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
    this.#startedAtMs = clock.now();
  }

  override get issue(): number {
    const elapsedMs = this.#clock.now() - this.#startedAtMs;
    return Math.floor(elapsedMs / MILLISECONDS_PER_ISSUE);
  }
}

/** Numbers and checks the home tokens of this process. */
export class HomeTokenIssuer {
  readonly entry: string;
  readonly incarnation: string;
  readonly #counter: IssueCounter;
  readonly #lifetimeIssues: number;

  /** @param lifetimeMs How long a token may be used after its issue, in milliseconds. */
  constructor(
    entry: string,
    incarnation: string,
    lifetimeMs: number,
    counter: IssueCounter,
  ) {
    this.entry = entry;
    this.incarnation = incarnation;
    this.#counter = counter;
    this.#lifetimeIssues = Math.ceil(lifetimeMs / MILLISECONDS_PER_ISSUE);
  }

  /** The issue number of a token issued now. */
  get issue(): number {
    return this.#counter.issue;
  }

  /** How long a token may be used after its issue, in milliseconds. */
  get lifetimeMs(): number {
    return this.#lifetimeIssues * MILLISECONDS_PER_ISSUE;
  }

  /** Whether this process issued the token. */
  isOwn(token: HomeToken): boolean {
    return token.entry === this.entry && token.incarnation === this.incarnation;
  }

  /** Whether a token with this issue number must no longer be used. */
  isExpired(issue: number): boolean {
    return this.issue - issue > this.#lifetimeIssues;
  }

  /** Whether this issue number is later than the current one; no entry issues such a token. */
  isFromFuture(issue: number): boolean {
    return issue > this.issue;
  }

  /** Milliseconds until a token with this issue number expires. */
  remainingMs(issue: number): number {
    const remainingIssues = issue + this.#lifetimeIssues - this.issue;
    return Math.max(0, remainingIssues) * MILLISECONDS_PER_ISSUE;
  }
}
