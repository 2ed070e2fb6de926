/** Load balancing decisions. They do no I/O and read no clock: callers pass the time in. */

export * from './admission-queue.js';
export * from './crash-guard.js';
export type {Crash} from './crash.js';
export * from './create-selection.js';
export * from './expected-loss.js';
export * from './group-failure-share.js';
export * from './hedge-plan.js';
export * from './hedge-reserve.js';
export * from './hot-cold.js';
export * from './least-in-flight.js';
export * from './load-report.js';
export * from './locality.js';
export * from './random-selection.js';
export * from './random.js';
export * from './repeat-budget.js';
export * from './request-fingerprint.js';
export * from './retry-after.js';
export * from './retry-budget.js';
export * from './round-robin.js';
export * from './selection.js';
export * from './token-bucket.js';
export * from './two-choices-reported.js';
export * from './two-choices.js';
export * from './upstream-load.js';
export * from './upstream-statistics.js';
export * from './weighted-round-robin.js';
export * from './work-estimate.js';
