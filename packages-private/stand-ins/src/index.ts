/** Stand-ins for what surrounds the system. */

export * from './store/index.js';
export * from './vm-list/index.js';
