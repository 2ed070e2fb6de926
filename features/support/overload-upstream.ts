/** Upstreams that slow down when they are nearly full and when their neighbours are busy, in simulated time. */

/** Properties of upstreams, as on the users' sites. */
const QUEUE_LENGTH = 4;
const KNEE_SHARE = 0.8;
const KNEE_SLOWDOWN = 1.7;
const NEIGHBOUR_SHARE = 0.25;
const NEIGHBOUR_SLOWDOWN = 4;

/** Time after which busy neighbours are drawn anew, in milliseconds. */
export const NEIGHBOUR_PERIOD_MS = 300;

const SECOND_MS = 1_000;

/** One kind of request. */
export interface SimulatedKind {
  readonly name: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Part of the requests, from 0 to 1. */
  readonly share: number;
  readonly workMs: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
  /** What an answer within the target is worth; 1 if undefined. */
  readonly value?: number;
  /** Client accounts that send it, all the same number of requests; one is drawn for each request. */
  readonly accounts?: number;
}

/** A request at an upstream. */
export interface SimulatedRun {
  /** Work that is left, in milliseconds on an undisturbed upstream. */
  leftMs: number;
}

/** A simulated upstream. */
export class SimulatedUpstream<Run extends SimulatedRun> {
  readonly running: Run[] = [];
  readonly waiting: Run[] = [];
  neighbourSlowdown = 1;

  readonly slots: number;

  constructor(slots: number) {
    this.slots = slots;
  }

  /** Sets whether neighbours are busy. @param draw From 0 to 1. */
  drawNeighbours(draw: number): void {
    this.neighbourSlowdown = draw < NEIGHBOUR_SHARE ? NEIGHBOUR_SLOWDOWN : 1;
  }

  get slowdown(): number {
    const isNearlyFull = this.running.length > this.slots * KNEE_SHARE;
    return this.neighbourSlowdown * (isNearlyFull ? KNEE_SLOWDOWN : 1);
  }

  /** Returns false if the request is rejected. */
  add(run: Run): boolean {
    if (this.running.length < this.slots) {
      this.running.push(run);
      return true;
    }
    if (this.waiting.length >= QUEUE_LENGTH) {
      return false;
    }
    this.waiting.push(run);
    return true;
  }

  /** Works for a millisecond; returns what has ended. */
  step(): Run[] {
    const done = 1 / this.slowdown;
    const ended: Run[] = [];
    for (const run of [...this.running]) {
      run.leftMs -= done;
      if (run.leftMs <= 0) {
        this.running.splice(this.running.indexOf(run), 1);
        ended.push(run);
      }
    }
    while (this.running.length < this.slots && this.waiting.length > 0) {
      this.running.push(this.waiting.shift() as Run);
    }
    return ended;
  }
}

/** Requests per second that the upstreams can run when they are chosen as well as possible: on the slots of those whose neighbours are calm. */
export function capacityPerSecond(
  {slots, kinds}: {slots: number; kinds: readonly SimulatedKind[]},
  upstreams: number,
): number {
  const workMs = kinds.reduce((sum, kind) => sum + kind.share * kind.workMs, 0);
  const levels = Array.from({length: slots}, (_, index) => index + 1);
  const best = Math.max(
    ...levels.map(level =>
      level > slots * KNEE_SHARE ? level / KNEE_SLOWDOWN : level,
    ),
  );
  const calm = upstreams * (1 - NEIGHBOUR_SHARE);
  return (calm * best * SECOND_MS) / workMs;
}
