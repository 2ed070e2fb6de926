/** The TCP link stand-in, as far as others use it. */

export * from './settings.js';
