/** What is logged of a refusal. */

import type {LogFields} from '../reporting/decision-log.js';
import {statusOf, type Refusal, type RoutedRequest} from './routed-request.js';

/** What is known of a request that is refused; less of one whose body was not read yet. */
export type RefusedRequest = Pick<RoutedRequest, 'service' | 'arrivedAtMs'> &
  Pick<RoutedRequest, 'route' | 'account' | 'configurationVersion'>;

/** Creates the fields of a `request.refused` line. */
export function toRefusalFields(
  requestId: string | undefined,
  refusal: Refusal,
  request: RefusedRequest | undefined,
  nowMs: number,
): LogFields {
  return {
    request: requestId,
    reason: refusal.reason,
    status: statusOf(refusal),
    isNotRun: refusal.isNotRun,
    comeBackMs: round(refusal.retryAfterMs),
    route: request?.route.name,
    account: request?.account?.name,
    service: request?.service,
    version: request?.configurationVersion,
    upstream: refusal.lastUpstream?.upstreamId,
    estimateMs: round(refusal.lastUpstream?.estimateMs),
    reportAgeMs: round(refusal.lastUpstream?.reportAgeMs),
    freeSlots: refusal.lastUpstream?.freeSlots,
    ...refusal.places,
    tookMs: round(request && nowMs - request.arrivedAtMs),
  };
}

function round(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value);
}
