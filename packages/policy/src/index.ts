/** Decisions: pure, with no I/O and no clock of their own. */

export * from './admission-queue.js';
export * from './crash-guard.js';
export * from './random.js';
export * from './retry-budget.js';
export * from './selection.js';
export * from './token-bucket.js';
export * from './two-choices.js';
export * from './upstream-load.js';
