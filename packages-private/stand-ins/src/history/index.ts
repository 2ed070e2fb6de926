/** The history of a run: its events, how they are recorded and read. */

export * from './events.js';
export * from './recorder.js';
export * from './history.js';
