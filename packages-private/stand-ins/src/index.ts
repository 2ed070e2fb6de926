/** Stand-ins for what surrounds the system in tests and measurements. */

export * from './caller/index.js';
export * from './checks/index.js';
export * from './free-ports.js';
export * from './history/index.js';
export * from './link/index.js';
export * from './peer/index.js';
export * from './store/index.js';
export * from './upstream/index.js';
export * from './vm-list/index.js';
