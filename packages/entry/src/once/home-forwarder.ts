/** Passes a request on to the entry that is the home of its key. */

import type {Clock} from '@wasabidyke/shared';
import {Pool} from 'undici';
import type {
  EntryMember,
  MemberDirectory,
} from '../control/member-directory.js';
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
import type {KeyedCall} from './once-handler.js';

/** Connections to one other entry. */
const CONNECTIONS_PER_ENTRY = 16;

/** Other entries to which connections are kept. */
const MAXIMUM_POOLS = 64;

const CONNECT_TIMEOUT_MS = 1_000;

/** The home must answer this long before the caller's deadline, so that the caller hears of it. */
const RESERVE_MS = 5;

/** Whole answers up to this size are held, so that a cut one is told as a problem. */
const HOLD_LIMIT_BYTES = 1_310_720;

/** What the forwarder needs. */
export interface HomeForwarderOptions {
  readonly entry: string;
  readonly directory: MemberDirectory;
  readonly clock: Clock;
}

/** Passes requests on to their homes. */
export class HomeForwarder {
  readonly #options: HomeForwarderOptions;
  readonly #pools = new Map<string, Pool>();

  constructor(options: HomeForwarderOptions) {
    this.#options = options;
  }

  /** Answers a request with what its home, or the home's successor, answers. */
  async forward(keyed: KeyedCall): Promise<void> {
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

  async #forwardTo(target: EntryMember, keyed: KeyedCall): Promise<void> {
    const {call, body} = keyed;
    const leftMs = call.deadlineMs - this.#options.clock.now();
    const attempt = new Attempt({
      dispatcher: this.#poolFor(target.callerAddress),
      request: {
        method: call.request.method ?? 'POST',
        path: call.request.url ?? '/',
        headers: this.#createHeaders(call, body, leftMs),
        body,
      },
      sink: new CallerSink(call.response, HOLD_LIMIT_BYTES, toForwardedHeaders),
      onAnswerHead: () => {},
      isTargetEntry: true,
    });
    const timer = setTimeout(() => attempt.giveUp(), leftMs);
    call.response.once('close', () => attempt.giveUp());
    attempt.start();
    const result = await attempt.result;
    clearTimeout(timer);
    this.#judge(call, result);
  }

  #judge(call: CallerRequest, result: AttemptResult): void {
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

  /** Only a first attempt that was not passed on was certainly not run. */
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
    leftMs: number,
  ): ReturnType<typeof toUpstreamHeaders> {
    const headers = toUpstreamHeaders(call.request.headers);
    headers['content-length'] = String(body.length);
    headers[FORWARDED_HEADER] = this.#options.entry;
    headers[TIMEOUT_HEADER] = String(
      Math.max(1, Math.floor(leftMs - RESERVE_MS)),
    );
    headers[DEPTH_HEADER] = String(call.depth);
    if (call.attempt !== undefined) {
      headers[ATTEMPT_HEADER] = String(call.attempt);
    }
    return headers;
  }

  #poolFor(address: string): Pool {
    const known = this.#pools.get(address);
    if (known !== undefined) {
      return known;
    }
    this.#closeOldest();
    const pool = new Pool(`http://${address}`, {
      connections: CONNECTIONS_PER_ENTRY,
      pipelining: 1,
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
