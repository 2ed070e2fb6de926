/** Open-loop load and experiments. */

export * from './arrivals.js';
export * from './comparison.js';
export * from './latency-record.js';
export * from './open-loop.js';
export * from './target.js';
export * from './policy-result.js';
export type {ArmName} from './policy-settings.js';
