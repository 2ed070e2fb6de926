/** A randomized soak of the balancer's processes under faults from outside. */

export {SURGING_ACCOUNT, SURGING_KEY} from './accounts.js';
export * from './changing-routes.js';
export * from './checks.js';
export * from './history.js';
export * from './odd-records.js';
export * from './routes.js';
export * from './schedule.js';
export * from './soak.js';
export * from './store-stand-in.js';
export * from './store-past.js';
export * from './worker-stand-in.js';
