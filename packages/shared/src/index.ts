/** Types and utilities that the other packages share. */

export * from './address.js';
export * from './answer-framing.js';
export * from './answer-status.js';
export * from './backoff.js';
export * from './byte-collector.js';
export * from './clock.js';
export * from './connection-refusals.js';
export * from './document.js';
export type {Draft} from './draft.js';
export * from './elapsed-clock.js';
export * from './finding.js';
export * from './header-fields.js';
export * from './held-answer.js';
export * from './life-cycle.js';
export * from './limited-body.js';
export * from './metrics.js';
export * from './outcome.js';
export * from './parse-json.js';
export * from './reporter.js';
export * from './request-target.js';
export * from './response-close.js';
export * from './result.js';
export * from './retry-after.js';
export * from './task.js';
export * from './time-line.js';
export * from './units.js';
export * from './values.js';
