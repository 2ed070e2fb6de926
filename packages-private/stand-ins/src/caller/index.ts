/** The caller stand-in, as far as others use it. */

export * from './plan.js';
