/** The manifest: what operators describe, how it is checked, and how a request finds its rules. */

export * from './parse.js';
export * from './path-prefix.js';
export * from './record.js';
export * from './schema.js';
export * from './snapshot.js';
export * from './succession.js';
