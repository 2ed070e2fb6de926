/** Logs what the registry of upstreams finds out. */

import type {Clock} from '@wasabidyke/shared';
import type {UpstreamRegistryOptions} from '../members/upstream-registry.js';
import type {DecisionLog} from './decision-log.js';

/** Returns listeners that log upstreams which fall silent, ask for rest or are cold, and services out of reach. */
export function createUpstreamReports(
  log: DecisionLog,
  clock: Clock,
): Pick<
  UpstreamRegistryOptions,
  'onUnresponsive' | 'onRest' | 'onReach' | 'onWarmUp'
> {
  return {
    onWarmUp: ({id, record, warmUp, limit}, source) => {
      const nowMs = clock.now();
      log.record('upstream.warm-up', {
        upstream: id,
        service: record.service,
        source,
        remainingMs: Math.round(warmUp.warmUp.remainingMs(nowMs)),
        requestsPerSecond: limit.appliedPerSecond(nowMs),
        ownPerSecond: limit.ownPerSecond(nowMs),
      });
    },
    onUnresponsive: ({id, service, address}, cause) =>
      log.record('upstream.silent', {upstream: id, service, address, cause}),
    onRest: ({id, service}, restMs) =>
      log.record('upstream.resting', {upstream: id, service, restMs}),
    onReach: (service, isDoubtful) => {
      if (isDoubtful) {
        log.record('service.unreached', {service});
      } else {
        log.record('service.reached', {service});
      }
    },
  };
}
