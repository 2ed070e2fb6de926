/**
 * Selections run inside the load tool, straight against upstreams: a quick
 * trial of a policy without entry processes.
 */

import type {SelectionPolicyName, Upstream} from '@wasabidyke/manifest';
import {
  createSelection,
  LOAD_REPORT_HEADER,
  parseLoadReport,
  SeededRandom,
  UpstreamLoad,
  type AttemptEnd,
  type Selection,
} from '@wasabidyke/policy';
import type {Pool} from 'undici';
import {exchange} from './exchange.js';
import {createPool, Target, toRequestEnd, type RequestEnd} from './target.js';

/** Further attempts after an upstream refused. */
const MAXIMUM_FURTHER_ATTEMPTS = 3;

/** Path of every request. */
const PATH = '/lookup';

/** Longest wait for an answer, in milliseconds. */
const TIMEOUT_MS = 5_000;

/** What one entry would know. */
interface Knowledge {
  readonly selection: Selection;
  readonly loads: readonly UpstreamLoad[];
}

/** Selections run inside the load tool. */
export class DirectTarget extends Target {
  readonly #pools: ReadonlyMap<string, Pool>;
  readonly #entries: readonly Knowledge[];
  readonly #random: SeededRandom;

  constructor(
    policy: SelectionPolicyName,
    upstreams: readonly Upstream[],
    entryCount: number,
    seed: number,
  ) {
    super();
    this.#random = new SeededRandom(seed);
    this.#pools = new Map(
      upstreams.map(upstream => [upstream.name, createPool(upstream.address)]),
    );
    this.#entries = Array.from({length: entryCount}, (_, index) => ({
      selection: createSelection(policy, new SeededRandom(seed + index + 1)),
      loads: upstreams.map(each => new UpstreamLoad(each, 'same-zone')),
    }));
  }

  override async send(): Promise<RequestEnd> {
    const index = this.#random.nextBelow(this.#entries.length);
    const {selection, loads} = this.#entries[index];
    let end: RequestEnd = 'failed';
    for (let sent = 0; sent <= MAXIMUM_FURTHER_ATTEMPTS; sent += 1) {
      const load = selection.select(loads, performance.now());
      end = load === undefined ? 'failed' : await this.#attempt(load);
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

  async #attempt(load: UpstreamLoad): Promise<RequestEnd> {
    const startMs = performance.now();
    load.onStart(startMs);
    const end = await this.#request(load);
    const nowMs = performance.now();
    load.onEnd(toAttemptEnd(end), nowMs - startMs, nowMs);
    return end;
  }

  async #request(load: UpstreamLoad): Promise<RequestEnd> {
    const pool = this.#pools.get(load.upstream.name);
    if (pool === undefined) {
      return 'failed';
    }
    const {status, headers} = await exchange(pool, PATH, TIMEOUT_MS);
    const header = headers[LOAD_REPORT_HEADER];
    const text = typeof header === 'string' ? header : undefined;
    const report = parseLoadReport(text, performance.now());
    if (report !== undefined) {
      load.onReport(report);
    }
    return toRequestEnd(status);
  }
}

function toAttemptEnd(end: RequestEnd): AttemptEnd {
  return end === 'refused' ? 'shed' : end;
}
