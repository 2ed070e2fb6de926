/** Fields of the log line of a refused request. */

import type {LogFields} from '../reporting/decision-log.js';
import {statusOf, type Refusal, type RoutedRequest} from './routed-request.js';

/** What is known of a request that is refused; less of one whose body was not read yet. */
export type RefusedRequest = Pick<
  RoutedRequest,
  'arrivedAtMs' | 'route' | 'account' | 'priority' | 'configurationVersion'
> & {
  /** Undefined if no service of the route takes requests. */
  readonly service?: string;
};

/** Returns the fields of `request.refused`. @param request Undefined if the request was not routed. */
export function toRefusalFields(
  requestId: string | undefined,
  refusal: Refusal,
  request: RefusedRequest | undefined,
  nowMs: number,
): LogFields {
  const {reason, isNotRun, retryAfterMs, lastUpstream, pressure} = refusal;
  return {
    request: requestId,
    reason,
    status: statusOf(refusal),
    isNotRun,
    comeBackMs: round(retryAfterMs),
    route: request?.route.name,
    account: request?.account?.name,
    priority: request?.priority,
    service: request?.service,
    version: request?.configurationVersion,
    upstream: lastUpstream?.upstreamId,
    estimateMs: round(lastUpstream?.estimateMs),
    reportAgeMs: round(lastUpstream?.reportAgeMs),
    freeSlots: lastUpstream?.freeSlots,
    consideredSlots: lastUpstream?.considered.slots,
    consideredFreeSlots: lastUpstream?.considered.freeSlots,
    pressure: pressure === undefined ? undefined : toHundredths(pressure),
    ...refusal.places,
    tookMs: round(request && nowMs - request.arrivedAtMs),
  };
}

function round(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value);
}

/** Returns a share from 0 to 1 with two decimals. */
function toHundredths(share: number): number {
  return Math.round(share * 100) / 100;
}
