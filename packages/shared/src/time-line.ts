/**
 * The time line: a bounded ring of events in each process, stamped by a hybrid
 * logical clock so that the rings of all processes merge in causal order.
 * Source of the clock: Kulkarni et al., "Logical Physical Clocks", 2014.
 */

import {z} from 'zod';
import type {Clock} from './clock.js';

/** A stamp of a hybrid logical clock. */
export const stampSchema = z.strictObject({
  /** Milliseconds since the Unix epoch. */
  wallTime: z.int().nonnegative(),
  /** Orders stamps of the same millisecond. */
  counter: z.int().nonnegative(),
});

/** A stamp of a hybrid logical clock. */
export type Stamp = z.infer<typeof stampSchema>;

/** One event of the time line. */
export const timeLineEventSchema = z.strictObject({
  stamp: stampSchema,
  /** Name of the process. */
  process: z.string(),
  /** What happened, such as `manifest.applied`. */
  kind: z.string(),
  /** The thing it happened to, such as an upstream's name. */
  subject: z.string(),
  /** Further text for a reader. */
  detail: z.string(),
});

/** One event of the time line. */
export type TimeLineEvent = z.infer<typeof timeLineEventSchema>;

/** Stamps of peers further ahead than this are not followed: their clock is wrong. */
const MAXIMUM_CLOCK_LEAD_MS = 60_000;

/** A hybrid logical clock. */
export class HybridClock {
  readonly #clock: Clock;
  #wallTime = 0;
  #counter = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** A stamp for an event in this process. */
  tick(): Stamp {
    const physical = Math.floor(this.#clock.wallTime());
    if (physical > this.#wallTime) {
      this.#wallTime = physical;
      this.#counter = 0;
    } else {
      this.#counter += 1;
    }
    return {wallTime: this.#wallTime, counter: this.#counter};
  }

  /** Takes in a stamp from a message, so that later stamps here come after it. */
  track(remote: Stamp): void {
    const limit = this.#clock.wallTime() + MAXIMUM_CLOCK_LEAD_MS;
    if (remote.wallTime > limit || remote.wallTime < this.#wallTime) {
      return;
    }
    const isSame = remote.wallTime === this.#wallTime;
    this.#counter = isSame
      ? Math.max(this.#counter, remote.counter)
      : remote.counter;
    this.#wallTime = remote.wallTime;
  }
}

/** The events of one process, of which the newest are kept. */
export class TimeLine {
  readonly hybridClock: HybridClock;
  readonly #process: string;
  readonly #capacity: number;
  readonly #events: TimeLineEvent[] = [];
  #oldest = 0;

  /** @param capacity Events to keep. */
  constructor(process: string, clock: Clock, capacity: number) {
    this.#process = process;
    this.#capacity = capacity;
    this.hybridClock = new HybridClock(clock);
  }

  /** Records an event. */
  record(kind: string, subject: string, detail = ''): void {
    const stamp = this.hybridClock.tick();
    const event = {stamp, process: this.#process, kind, subject, detail};
    if (this.#events.length < this.#capacity) {
      this.#events.push(event);
      return;
    }
    this.#events[this.#oldest] = event;
    this.#oldest = (this.#oldest + 1) % this.#capacity;
  }

  /** The kept events, oldest first. */
  toArray(): readonly TimeLineEvent[] {
    const newer = this.#events.slice(0, this.#oldest);
    return [...this.#events.slice(this.#oldest), ...newer];
  }
}

/** Orders stamps: causally, then by nothing. */
export function compareStamps(left: Stamp, right: Stamp): number {
  const wallTimes = left.wallTime - right.wallTime;
  return wallTimes === 0 ? left.counter - right.counter : wallTimes;
}
