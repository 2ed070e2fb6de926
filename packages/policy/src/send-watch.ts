/**
 * Watches upstreams for as long as requests may be under way there, and has
 * them checked at the times at which they must be seen to run.
 */

import type {Clock} from '@wasabidyke/shared';
import {UnsettledSends, type UnsettledSend} from './unsettled-sends.js';

interface Watched<Request> {
  readonly sends: UnsettledSends<Request>;
  timer: NodeJS.Timeout | undefined;
  /** When the timer fires, on the monotonic clock in milliseconds. */
  dueAtMs: number;
  isChecking: boolean;
}

/** Checks under way at which no further one is started by time alone: many are due together only when this entry has lost its links. */
const MAXIMUM_CHECKS = 16;

/** Watches the upstreams to which requests were sent. */
export abstract class SendWatch<Upstream extends object, Request> {
  readonly #clock: Clock;
  readonly #watched = new Map<Upstream, Watched<Request>>();
  #checks = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Number of sends whose outcome is open. */
  get unsettledCount(): number {
    return [...this.#watched.values()].reduce(
      (count, {sends}) => count + sends.list().length,
      0,
    );
  }

  /** Called when a request is sent to an upstream. */
  onSend(upstream: Upstream, request: Request): UnsettledSend<Request> {
    return this.#watch(upstream).sends.add(request, this.#clock.now());
  }

  /** Called when an upstream can't end under a send any more. */
  settle(upstream: Upstream, send: UnsettledSend<Request>): void {
    const watched = this.#watched.get(upstream);
    watched?.sends.settle(send);
    this.#schedule(upstream, watched);
  }

  /** Called when a send was given up, or its connection broke: the upstream may still run it. */
  abandon(upstream: Upstream, send: UnsettledSend<Request>): void {
    const watched = this.#watched.get(upstream);
    watched?.sends.abandon(send, this.#clock.now());
    this.#schedule(upstream, watched);
  }

  /** Called when a connection to an upstream ends that this entry didn't close, as all do when its process ends. */
  onConnectionLost(upstream: Upstream): void {
    const watched = this.#watched.get(upstream);
    if (watched !== undefined && watched.sends.abandonedCount > 0) {
      void this.hasEnded(upstream);
    }
  }

  /** Checks whether the process of an upstream has ended, and reports what it was running. */
  async hasEnded(upstream: Upstream): Promise<boolean> {
    const startedAtMs = this.#clock.now();
    this.#checks += 1;
    const hasEnded = await this.check(upstream);
    this.#checks -= 1;
    if (hasEnded) {
      this.#reportSentUntil(upstream, startedAtMs);
    } else {
      const watched = this.#watched.get(upstream);
      watched?.sends.onSeen(startedAtMs);
      this.#schedule(upstream, watched);
    }
    return hasEnded;
  }

  /** Ends all checks that are due. */
  stop(): void {
    for (const {timer} of this.#watched.values()) {
      clearTimeout(timer);
    }
    this.#watched.clear();
  }

  /** Returns whether the process of an upstream has ended; never rejects. */
  protected abstract check(upstream: Upstream): Promise<boolean>;

  /** When an upstream was last seen to run, on the monotonic clock in milliseconds. */
  protected abstract seenAtMs(upstream: Upstream): number;

  /** Whether a check would tell something. */
  protected abstract isCheckable(upstream: Upstream): boolean;

  /**
   * Called with the sends that an upstream was running when it ended; there may
   * be none.
   * @param endedByMs When it had ended at the latest, on the monotonic clock in milliseconds.
   */
  protected abstract onEnded(
    upstream: Upstream,
    sends: readonly UnsettledSend<Request>[],
    endedByMs: number,
  ): void;

  /** An upstream that doesn't answer a check had ended when that began; what was sent later can't have ended it. */
  #reportSentUntil(upstream: Upstream, endedByMs: number): void {
    const watched = this.#watched.get(upstream);
    const sends = watched?.sends.takeSentUntil(endedByMs) ?? [];
    this.#schedule(upstream, watched);
    this.onEnded(upstream, sends, endedByMs);
  }

  /** Removes and returns the sends to an upstream that were given up: the others have lost their own connections if it has ended. */
  protected takeAbandoned(
    upstream: Upstream,
  ): readonly UnsettledSend<Request>[] {
    const watched = this.#watched.get(upstream);
    const sends = watched?.sends.takeAbandoned() ?? [];
    this.#schedule(upstream, watched);
    return sends;
  }

  #watch(upstream: Upstream): Watched<Request> {
    const known = this.#watched.get(upstream);
    if (known !== undefined) {
      return known;
    }
    const watched: Watched<Request> = {
      sends: new UnsettledSends<Request>(),
      timer: undefined,
      dueAtMs: Infinity,
      isChecking: false,
    };
    this.#watched.set(upstream, watched);
    return watched;
  }

  /** Plans the next check; forgets an upstream at which nothing is under way. */
  #schedule(upstream: Upstream, watched: Watched<Request> | undefined): void {
    if (watched === undefined) {
      return;
    }
    if (watched.sends.isEmpty) {
      clearTimeout(watched.timer);
      if (this.#watched.get(upstream) === watched) {
        this.#watched.delete(upstream);
      }
      return;
    }
    const dueAtMs = watched.sends.nextSightAtMs ?? Infinity;
    if (watched.isChecking || dueAtMs >= watched.dueAtMs) {
      return;
    }
    clearTimeout(watched.timer);
    watched.dueAtMs = dueAtMs;
    watched.timer = setTimeout(
      () => void this.#onDue(upstream, watched),
      Math.max(0, dueAtMs - this.#clock.now()),
    );
    watched.timer.unref();
  }

  async #onDue(upstream: Upstream, watched: Watched<Request>): Promise<void> {
    const {dueAtMs} = watched;
    const seenAtMs = this.seenAtMs(upstream);
    watched.isChecking = true;
    if (seenAtMs >= dueAtMs) {
      watched.sends.onSeen(seenAtMs);
    } else if (this.#checks < MAXIMUM_CHECKS && this.isCheckable(upstream)) {
      await this.hasEnded(upstream);
    } else {
      watched.sends.onSeen(dueAtMs);
    }
    watched.isChecking = false;
    watched.dueAtMs = Infinity;
    this.#schedule(upstream, watched);
  }
}
