/** Processes that run a peer task alone. */

export * from './messages.js';
export * from './forked-peer.js';
