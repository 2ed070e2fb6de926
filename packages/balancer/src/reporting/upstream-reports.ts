/** Logs what the registry of upstreams finds out. */

import type {UpstreamRegistryOptions} from '../members/upstream-registry.js';
import type {DecisionLog} from './decision-log.js';

/** Returns listeners that log upstreams which fall silent or ask for rest, and services out of reach. */
export function createUpstreamReports(
  log: DecisionLog,
): Pick<UpstreamRegistryOptions, 'onUnresponsive' | 'onRest' | 'onReach'> {
  return {
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
