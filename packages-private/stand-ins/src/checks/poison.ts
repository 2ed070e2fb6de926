/** A request that crashes upstreams takes down few, and no other request is taken for one. */

import {groupBy, type History} from '../history/index.js';
import type {CheckReport} from './check.js';

/** Upstreams of one service that one request may take down. */
const MAXIMUM_CRASHES = 2;

/** The reason of an answer to a quarantined request. */
const REASON = 'quarantined';

/** Checks the crashes of each request. */
export function checkPoison(history: History): CheckReport {
  const crashes = history.of('crashed');
  const crashing = new Set(crashes.map(({request}) => request));
  const refused = history
    .of('attempt-ended')
    .filter(({reason}) => reason === REASON);
  const violations: string[] = [];
  const toName = (event: {service: string; request: string}) =>
    `${event.service} ${event.request}`;
  for (const [name, each] of groupBy(crashes, toName)) {
    if (each.length > MAXIMUM_CRASHES) {
      violations.push(`${name} took down ${each.length} upstreams`);
    }
  }
  for (const {request, service} of refused) {
    if (!crashing.has(request)) {
      violations.push(`${service} ${request} was refused but crashed nothing`);
    }
  }
  return {
    events: crashes.length + refused.length,
    trials: crashes.length,
    violations,
  };
}
