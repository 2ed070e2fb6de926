/** Stand-ins for what surrounds the system in tests and measurements. */

export * from './history/index.js';
export * from './store/index.js';
export * from './upstream/index.js';
export * from './vm-list/index.js';
