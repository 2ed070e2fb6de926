/** Decisions: pure, with no I/O and no clock of their own. */

export * from './admission-queue.js';
export * from './come-back-time.js';
export * from './crash-guard.js';
export * from './create-selection.js';
export * from './expected-loss.js';
export * from './failure-level.js';
export * from './hedge-plan.js';
export * from './hedge-reserve.js';
export * from './hot-cold.js';
export * from './least-in-flight.js';
export * from './load-report.js';
export * from './locality.js';
export * from './random-selection.js';
export * from './random.js';
export * from './repeat-budget.js';
export * from './retry-budget.js';
export * from './round-robin.js';
export * from './selection.js';
export * from './token-bucket.js';
export * from './two-choices-reported.js';
export * from './two-choices.js';
export * from './upstream-load.js';
export * from './upstream-outlook.js';
export * from './weighted-turn.js';
export * from './work-estimate.js';
