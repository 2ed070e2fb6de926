/** The TCP link stand-in, as far as others use it. */

export * from './link.js';
export * from './settings.js';
