/** Duration of an overload, as one entry's refusals show it. */

import {SECOND_MS} from '@wasabidyke/shared';

/** Time without a refusal after which an overload is over, in milliseconds: an entry of a large fleet sees a few requests of a service in it. */
const OVERLOAD_GAP_MS = 2 * SECOND_MS;

/** Number of requests sent in a row after which it is over as well: less than a tenth is refused. */
const SENDS_WITHOUT_REFUSAL = 10;

/** Duration of an overload from which on it is expected to last, in milliseconds: a short burst is queued instead. */
const LASTING_MS = SECOND_MS;

/** Time from the first to the last refusal of an overload. */
export class OverloadSpan {
  #sinceMs = -Infinity;
  #refusedAtMs = -Infinity;
  #sentSinceRefusal = 0;

  /** Whether requests have been refused for so long that it is likely to go on. */
  isLasting(nowMs: number): boolean {
    return (
      this.#isOverloaded(nowMs) &&
      this.#refusedAtMs - this.#sinceMs >= LASTING_MS
    );
  }

  /** Called when a request is sent. */
  onSend(): void {
    this.#sentSinceRefusal += 1;
  }

  /** Records a refusal; returns for how long the overload has lasted, in milliseconds. */
  onRefusal(nowMs: number): number {
    if (!this.#isOverloaded(nowMs)) {
      this.#sinceMs = nowMs;
    }
    this.#refusedAtMs = nowMs;
    this.#sentSinceRefusal = 0;
    return nowMs - this.#sinceMs;
  }

  #isOverloaded(nowMs: number): boolean {
    return (
      nowMs - this.#refusedAtMs < OVERLOAD_GAP_MS &&
      this.#sentSinceRefusal < SENDS_WITHOUT_REFUSAL
    );
  }
}
