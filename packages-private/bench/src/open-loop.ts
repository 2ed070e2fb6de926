/**
 * Open-loop load: requests are sent when they are due, whatever became of
 * earlier ones, and latency counts from the time they were due.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import type {Arrivals} from './arrivals.js';
import {LatencyRecord} from './latency-record.js';
import type {Target} from './target.js';

/** Pause between looks at what is due, in milliseconds. */
const TICK_MS = 1;

/** Most requests under way; further ones count as failed. */
const MAXIMUM_UNDER_WAY = 20_000;

/** What became of the requests that were due in one round. */
export class RoundRecord {
  readonly latency = new LatencyRecord();
  readonly lateness = new LatencyRecord();
  answered = 0;
  refused = 0;
  failed = 0;
}

/** How long to send. */
export interface OpenLoopSettings {
  /** Time before the first round, in milliseconds. */
  readonly warmUpMs: number;
  readonly rounds: number;
  readonly roundMs: number;
  /** Longest wait for the last answers, in milliseconds. */
  readonly timeoutMs: number;
}

/** One open loop of requests. */
export class OpenLoop {
  readonly #arrivals: Arrivals;
  readonly #target: Target;
  readonly #settings: OpenLoopSettings;
  readonly #rounds: readonly RoundRecord[];
  readonly #warmUp = new RoundRecord();
  #underWay = 0;

  constructor(arrivals: Arrivals, target: Target, settings: OpenLoopSettings) {
    this.#arrivals = arrivals;
    this.#target = target;
    this.#settings = settings;
    this.#rounds = Array.from(
      {length: settings.rounds},
      () => new RoundRecord(),
    );
  }

  /** Sends everything and waits for the last answers. */
  async run(): Promise<readonly RoundRecord[]> {
    const {warmUpMs, rounds, roundMs, timeoutMs} = this.#settings;
    const startMs = performance.now();
    const endMs = warmUpMs + rounds * roundMs;
    let dueMs = this.#arrivals.nextMs();
    while (dueMs < endMs) {
      while (startMs + dueMs <= performance.now() && dueMs < endMs) {
        void this.#send(startMs + dueMs, this.#roundAt(dueMs));
        dueMs = this.#arrivals.nextMs();
      }
      await sleep(TICK_MS);
    }
    const lastMs = performance.now() + timeoutMs;
    while (this.#underWay > 0 && performance.now() < lastMs) {
      await sleep(TICK_MS);
    }
    return this.#rounds;
  }

  #roundAt(dueMs: number): RoundRecord {
    const {warmUpMs, roundMs} = this.#settings;
    const round = Math.floor((dueMs - warmUpMs) / roundMs);
    return round < 0 ? this.#warmUp : this.#rounds[round];
  }

  async #send(dueMs: number, round: RoundRecord): Promise<void> {
    round.lateness.record(performance.now() - dueMs);
    if (this.#underWay >= MAXIMUM_UNDER_WAY) {
      round.failed += 1;
      return;
    }
    this.#underWay += 1;
    const end = await this.#target.send();
    this.#underWay -= 1;
    round[end] += 1;
    if (end === 'answered') {
      round.latency.record(performance.now() - dueMs);
    }
  }
}
