/** The runner that proves the promises under failure. */

export * from './report.js';
export * from './runner.js';
export * from './schedule/draw.js';
export * from './schedule/schedule.js';
export * from './weakened/index.js';
