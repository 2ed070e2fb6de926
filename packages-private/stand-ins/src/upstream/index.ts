/** The upstream stand-in, as far as others use it. */

export * from './answer.js';
export * from './settings.js';
