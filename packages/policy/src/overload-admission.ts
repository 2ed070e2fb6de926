/**
 * Decides whether a request is sent now, waits for a slot, or is refused, while
 * the upstreams of a service are full. A queue of late requests keeps itself
 * full: each of them takes the slot of one that could still be answered within
 * its target latency. So requests are queued at an upstream only as long as
 * they are answered in time there.
 */

import {OverloadSpan} from './overload-span.js';
import {spreadReturnMs} from './return-delay.js';
import type {RandomSource} from './selection.js';
import {
  ServiceAdmission,
  type AdmissionDecision,
  type AdmissionQuery,
} from './service-admission.js';
import {WaitingRequests} from './waiting-requests.js';

/** Largest share of the time until the target that the estimate of a queued request may take: what is ahead of it in the queue is known less well than its own work. */
const QUEUED_ESTIMATE_SHARE = 0.6;

/** The same for a request that takes a slot at once. */
const SLOT_ESTIMATE_SHARE = 0.9;

/** Admission of the requests of one service at one entry. The work of a decision does not grow with the number of entries or upstreams. */
export class OverloadAdmission extends ServiceAdmission {
  readonly #random: RandomSource;
  readonly #waiting = new WaitingRequests();
  readonly #overload = new OverloadSpan();

  constructor(random: RandomSource) {
    super();
    this.#random = random;
  }

  override get pressure(): undefined {
    return undefined;
  }

  /** Whether requests have been refused for so long that it is likely to go on. */
  isLasting(nowMs: number): boolean {
    return this.#overload.isLasting(nowMs);
  }

  /** Requests of one priority need no count. */
  override onArrival(): void {}

  override moreUrgentShare(): number {
    return 0;
  }

  override decide(query: AdmissionQuery): AdmissionDecision {
    const {slowingSlots, waitedMs, maximumWaitMs} = query;
    const {freeSlotEstimateMs, targetRemainingMs} = query;
    const freeSlots =
      query.freeSlots - this.#waiting.countMoreUrgent(query.priority);
    if (freeSlots > slowingSlots) {
      return 'send';
    }
    const mayBeInTime = freeSlotEstimateMs <= targetRemainingMs;
    if (!this.isLasting(query.nowMs)) {
      const hasSlot = freeSlots > 0;
      const share = hasSlot ? SLOT_ESTIMATE_SHARE : QUEUED_ESTIMATE_SHARE;
      const isInTime = query.estimateMs <= targetRemainingMs * share;
      // What is late anywhere takes a slot that nobody else needs yet.
      if (isInTime || (hasSlot && !mayBeInTime)) {
        return 'send';
      }
    }
    return mayBeInTime && waitedMs < maximumWaitMs ? 'wait' : 'refuse';
  }

  override onWait(priority: number): () => void {
    return this.#waiting.add(priority);
  }

  override onSend(): void {
    this.#overload.onSend();
  }

  /**
   * An overload is expected to last as long as it has lasted: callers that come
   * back sooner are refused again, or take the slots of others.
   */
  override refuse(slotDelayMs: number, nowMs: number): number {
    const lastedMs = this.#overload.onRefusal(nowMs);
    return spreadReturnMs(slotDelayMs + lastedMs, this.#random);
  }
}
