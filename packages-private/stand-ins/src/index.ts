/** Stand-ins for what surrounds the system in tests and measurements. */

export * from './history/index.js';
export * from './upstream/index.js';
