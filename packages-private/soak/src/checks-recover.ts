/** Whether requests are served again once all faults are over. */

import type {History} from './history.js';

/** Share of requests that must be served once all faults are over. Source: a system without faults and at low load serves all; the rest are requests that faults still hold. */
const CALM_SHARE = 0.95;

/** Too few requests that were served after the last fault. */
export function checkRecover({calls, calmFromMs}: History): string[] {
  const late = calls.filter(
    ({
      sentAtMs,
      endedAtMs,
      leftAtMs,
      isCrashing,
      isRevocable,
      isSurging,
      isProbe,
    }) =>
      isProbe === undefined &&
      sentAtMs > calmFromMs &&
      endedAtMs !== undefined &&
      leftAtMs === undefined &&
      isCrashing === undefined &&
      isRevocable === undefined &&
      isSurging === undefined,
  );
  const served = late.filter(({status}) => status === 200).length;
  return served < CALM_SHARE * late.length || late.length === 0
    ? [`${served} of ${late.length} requests were served after all faults`]
    : [];
}
