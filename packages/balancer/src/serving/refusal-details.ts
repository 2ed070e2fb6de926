/** Details of refusals, from the upstream that was selected last. */

import {retryAfterMs, type RandomSource} from '@wasabidyke/policy';
import type {LastUpstream} from './routed-request.js';
import type {SelectedUpstream} from './upstream-selector.js';

/** Converts the selected upstream to what a refusal tells of it. */
export function toLastUpstream(selected: SelectedUpstream): LastUpstream {
  const {handle, estimateMs, reportAgeMs, freeSlots} = selected;
  return {upstreamId: handle.id, estimateMs, reportAgeMs, freeSlots};
}

/** Estimates when an upstream has a free slot, in milliseconds from now. @param selected Undefined if no upstream was selected. */
export function freeSlotDelayMs(
  selected: SelectedUpstream | undefined,
  workMs: number,
  nowMs: number,
  random: RandomSource,
): number {
  if (selected === undefined) {
    return retryAfterMs(1, workMs, random);
  }
  const {statistics} = selected.handle;
  const excessRequests = -statistics.freeSlots(nowMs);
  const workPerSlotMs = workMs / Math.max(1, statistics.slots);
  return retryAfterMs(excessRequests, workPerSlotMs, random);
}
