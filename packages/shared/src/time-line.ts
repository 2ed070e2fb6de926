/**
 * The time line: a ring buffer of events in each process, stamped by a hybrid
 * logical clock so that the events of all processes merge in causal order.
 * Source: Kulkarni et al., "Logical Physical Clocks", 2014.
 */

import {z} from 'zod';
import type {Clock} from './clock.js';

/** A stamp of a hybrid logical clock. */
export const stampSchema = z.strictObject({
  /** Milliseconds since the Unix epoch. */
  wallTime: z.int().nonnegative(),
  /** Orders stamps with equal `wallTime`. */
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
  /** What the event concerns, such as an upstream's name. */
  subject: z.string(),
  /** Further text for people; may be empty. */
  detail: z.string(),
});

/** One event of the time line. */
export type TimeLineEvent = z.infer<typeof timeLineEventSchema>;

/** A remote stamp further ahead of the local clock is ignored, because the remote clock must be wrong. */
const MAXIMUM_CLOCK_LEAD_MS = 60_000;

/** A hybrid logical clock. */
export class HybridClock {
  readonly #clock: Clock;
  #wallTime = 0;
  #counter = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Returns a stamp for a local event, later than all earlier ones. */
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

  /** Merges the stamp of a received message, so that later local stamps follow it. */
  merge(remote: Stamp): void {
    const limit = this.#clock.wallTime() + MAXIMUM_CLOCK_LEAD_MS;
    if (remote.wallTime > limit || remote.wallTime < this.#wallTime) {
      return;
    }
    const hasSameWallTime = remote.wallTime === this.#wallTime;
    this.#counter = hasSameWallTime
      ? Math.max(this.#counter, remote.counter)
      : remote.counter;
    this.#wallTime = remote.wallTime;
  }
}

/** The newest events of one process. */
export class TimeLine {
  readonly hybridClock: HybridClock;
  readonly #process: string;
  readonly #capacity: number;
  readonly #events: TimeLineEvent[] = [];
  #oldest = 0;

  /** @param capacity Maximum number of events kept. */
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

/** Compares stamps in causal order; returns 0 for equal stamps, without a tie-break. */
export function compareStamps(left: Stamp, right: Stamp): number {
  const wallTimes = left.wallTime - right.wallTime;
  return wallTimes === 0 ? left.counter - right.counter : wallTimes;
}
