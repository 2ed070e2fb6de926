/** Forwards a request to the entry that is the home of its idempotency key. */

import type {Clock} from '@wasabidyke/shared';
import type {Pool} from 'undici';
import type {
  EntryMember,
  MemberDirectory,
} from '../control/member-directory.js';
import {createAttemptPool} from '../data-path/attempt-pool.js';
import {CallerSink} from '../data-path/answer-sink.js';
import {Attempt, type AttemptResult} from '../data-path/attempt.js';
import type {CallerRequest} from '../data-path/caller-request.js';
import {
  ATTEMPT_HEADER,
  DEPTH_HEADER,
  FORWARDED_HEADER,
  TIMEOUT_HEADER,
  toForwardedHeaders,
  toUpstreamHeaders,
} from '../data-path/headers.js';
import {sendProblem, type ProblemReason} from '../data-path/problem.js';
import type {KeyedRequest} from './at-most-once-handler.js';

/** Limit of connections to one other entry. */
const CONNECTIONS_PER_ENTRY = 16;

/** Limit of other entries to which connections are kept. */
const MAXIMUM_POOLS = 64;

const CONNECT_TIMEOUT_MS = 1_000;

/** How long before the caller's deadline the home must answer, so that the answer arrives in time, in milliseconds. */
const RESPONSE_MARGIN_MS = 5;

/** Answers up to this size are buffered until they are complete, so that a cut one becomes a problem document. */
const ANSWER_BUFFER_LIMIT_BYTES = 1_310_720;

/** Options of `HomeForwarder`. */
export interface HomeForwarderOptions {
  /** Name of this entry. */
  readonly entry: string;
  readonly directory: MemberDirectory;
  readonly clock: Clock;
}

/** Forwards requests to their homes and relays the answers. */
export class HomeForwarder {
  readonly #options: HomeForwarderOptions;
  readonly #pools = new Map<string, Pool>();

  constructor(options: HomeForwarderOptions) {
    this.#options = options;
  }

  /** Relays the answer of the home or, when that has stopped, of its successor. */
  async forward(keyed: KeyedRequest): Promise<void> {
    const {directory} = this.#options;
    const {entry, incarnation} = keyed.key.home;
    const target =
      directory.findMember(entry, incarnation) ??
      directory.findSuccessor(incarnation);
    if (target === undefined) {
      this.#refuse(keyed.call, 'home-gone', false);
      return;
    }
    await this.#forwardTo(target, keyed);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    await Promise.all(pools.map(pool => pool.close()));
  }

  async #forwardTo(target: EntryMember, keyed: KeyedRequest): Promise<void> {
    const {call, body} = keyed;
    const remainingMs = call.deadlineMs - this.#options.clock.now();
    const attempt = new Attempt({
      dispatcher: this.#getPool(target.callerAddress),
      request: {
        method: call.request.method ?? 'POST',
        path: call.request.url ?? '/',
        headers: this.#createHeaders(call, body, remainingMs),
        body,
      },
      sink: new CallerSink(
        call.response,
        ANSWER_BUFFER_LIMIT_BYTES,
        toForwardedHeaders,
      ),
      onAnswerHead: () => {},
      isTargetEntry: true,
    });
    const timer = setTimeout(() => attempt.giveUp(), remainingMs);
    call.response.once('close', () => attempt.giveUp());
    attempt.start();
    const result = await attempt.result;
    clearTimeout(timer);
    this.#handleResult(call, result);
  }

  #handleResult(call: CallerRequest, result: AttemptResult): void {
    switch (result.kind) {
      case 'answered':
      case 'shed':
        return;
      case 'not-sent':
        this.#refuse(call, 'home-unreachable', false);
        return;
      case 'broken':
      case 'given-up':
        this.#refuse(call, 'home-unreachable', true);
        return;
    }
  }

  /** Only a first attempt that was not forwarded has certainly not run. */
  #refuse(call: CallerRequest, reason: ProblemReason, wasSent: boolean): void {
    if (call.response.headersSent || call.response.destroyed) {
      return;
    }
    const isNotRun = call.attempt === 1 && !wasSent;
    sendProblem(call.response, {
      reason,
      outcome: isNotRun ? 'not-run' : 'unknown',
      detail: isNotRun
        ? 'Take a new key with another home.'
        : 'It may have run; ask again later with the same key.',
    });
  }

  #createHeaders(
    call: CallerRequest,
    body: Buffer,
    remainingMs: number,
  ): ReturnType<typeof toUpstreamHeaders> {
    const headers = toUpstreamHeaders(call.request.headers);
    headers['content-length'] = String(body.length);
    headers[FORWARDED_HEADER] = this.#options.entry;
    headers[TIMEOUT_HEADER] = String(
      Math.max(1, Math.floor(remainingMs - RESPONSE_MARGIN_MS)),
    );
    headers[DEPTH_HEADER] = String(call.depth);
    if (call.attempt !== undefined) {
      headers[ATTEMPT_HEADER] = String(call.attempt);
    }
    return headers;
  }

  #getPool(address: string): Pool {
    const existing = this.#pools.get(address);
    if (existing !== undefined) {
      return existing;
    }
    this.#closeOldest();
    const pool = createAttemptPool(`http://${address}`, {
      connections: CONNECTIONS_PER_ENTRY,
      connectTimeout: CONNECT_TIMEOUT_MS,
    });
    this.#pools.set(address, pool);
    return pool;
  }

  #closeOldest(): void {
    if (this.#pools.size < MAXIMUM_POOLS) {
      return;
    }
    const [oldest] = this.#pools;
    this.#pools.delete(oldest[0]);
    void oldest[1].close();
  }
}
