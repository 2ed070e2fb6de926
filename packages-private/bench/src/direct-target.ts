/**
 * Selections run inside the load tool, straight against upstreams: a quick
 * trial of a policy without entry processes.
 */

import type {IncomingHttpHeaders} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import type {SelectionPolicyName, Upstream} from '@wasabidyke/manifest';
import {
  createSelection,
  HedgePlan,
  LOAD_REPORT_HEADER,
  parseLoadReport,
  SeededRandom,
  UpstreamLoad,
  type AttemptEnd,
  type Selection,
} from '@wasabidyke/policy';
import type {Pool} from 'undici';
import {Exchange} from './exchange.js';
import {createPool, Target, toRequestEnd, type RequestEnd} from './target.js';

/** Further attempts after an upstream refused. */
const MAXIMUM_FURTHER_ATTEMPTS = 3;

/** Hedges for each request. */
const HEDGE_SHARE = 0.1;

/** Path of every request. */
const PATH = '/lookup';

/** Longest wait for an answer, in milliseconds. */
const TIMEOUT_MS = 5_000;

/** What one entry would know. */
interface Knowledge {
  readonly selection: Selection;
  readonly loads: readonly UpstreamLoad[];
  readonly hedges: HedgePlan;
}

/** One attempt under way. */
interface DirectAttempt {
  readonly load: UpstreamLoad;
  readonly exchange: Exchange;
  readonly end: Promise<RequestEnd>;
}

/** Selections run inside the load tool. */
export class DirectTarget extends Target {
  readonly #pools: ReadonlyMap<string, Pool>;
  readonly #entries: readonly Knowledge[];
  readonly #random: SeededRandom;
  readonly #isHedged: boolean;

  constructor(
    policy: SelectionPolicyName,
    upstreams: readonly Upstream[],
    entryCount: number,
    seed: number,
    isHedged: boolean,
  ) {
    super();
    this.#isHedged = isHedged;
    this.#random = new SeededRandom(seed);
    this.#pools = new Map(
      upstreams.map(upstream => [upstream.name, createPool(upstream.address)]),
    );
    this.#entries = Array.from({length: entryCount}, (_, index) => ({
      selection: createSelection(policy, new SeededRandom(seed + index + 1)),
      hedges: new HedgePlan(HEDGE_SHARE),
      loads: upstreams.map(each => new UpstreamLoad(each, 'same-zone')),
    }));
  }

  override async send(): Promise<RequestEnd> {
    const index = this.#random.nextBelow(this.#entries.length);
    const entry = this.#entries[index];
    let end: RequestEnd = 'failed';
    for (let sent = 0; sent <= MAXIMUM_FURTHER_ATTEMPTS; sent += 1) {
      end = await this.#sendHedged(entry);
      if (end !== 'refused') {
        return end;
      }
    }
    return end;
  }

  override async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    await Promise.all(pools.map(pool => pool.destroy()));
  }

  /** Sends one attempt, and another beside it when it takes long. */
  async #sendHedged(entry: Knowledge): Promise<RequestEnd> {
    const {hedges} = entry;
    hedges.onRequest();
    const first = this.#attempt(entry, entry.loads);
    if (first === undefined) {
      return 'failed';
    }
    const delayMs = hedges.delayMs;
    if (!this.#isHedged || delayMs === undefined) {
      return first.end;
    }
    const early = await Promise.race([first.end, sleep(delayMs)]);
    if (early !== undefined || !hedges.take()) {
      return first.end;
    }
    const {vm} = first.load.upstream;
    const elsewhere = entry.loads.filter(load => load.upstream.vm !== vm);
    const second = this.#attempt(entry, elsewhere);
    if (second === undefined) {
      return first.end;
    }
    const end = await Promise.race([first.end, second.end]);
    first.exchange.giveUp();
    second.exchange.giveUp();
    return end;
  }

  #attempt(
    entry: Knowledge,
    loads: readonly UpstreamLoad[],
  ): DirectAttempt | undefined {
    const startMs = performance.now();
    const load = entry.selection.select(loads, startMs);
    const pool = this.#pools.get(load?.upstream.name ?? '');
    if (load === undefined || pool === undefined) {
      return undefined;
    }
    load.onStart(startMs);
    const exchange = new Exchange(pool, PATH, TIMEOUT_MS);
    const end = exchange.result.then(({status, headers}) => {
      const nowMs = performance.now();
      const ended = toRequestEnd(status);
      const durationMs = nowMs - startMs;
      load.onEnd(
        exchange.isGivenUp ? 'cancelled' : toAttemptEnd(ended),
        durationMs,
        nowMs,
      );
      entry.hedges.onAnswer(durationMs);
      applyReport(load, headers, nowMs);
      return ended;
    });
    return {load, exchange, end};
  }
}

function applyReport(
  load: UpstreamLoad,
  headers: IncomingHttpHeaders,
  nowMs: number,
): void {
  const header = headers[LOAD_REPORT_HEADER];
  const text = typeof header === 'string' ? header : undefined;
  const report = parseLoadReport(text, nowMs);
  if (report !== undefined) {
    load.onReport(report);
  }
}

function toAttemptEnd(end: RequestEnd): AttemptEnd {
  return end === 'refused' ? 'shed' : end;
}
