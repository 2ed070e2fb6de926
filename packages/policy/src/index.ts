/** Decisions: pure, with no I/O and no clock of their own. */

export * from './random.js';
export * from './selection.js';
export * from './two-choices.js';
export * from './upstream-load.js';
