/** The operators' interface of an entry: its messages, server, client and settings. */

export * from './address.js';
export * from './client.js';
export * from './messages.js';
export * from './parse-settings.js';
export * from './problem.js';
export {
  OperatorServer,
  createOperatorServer,
  type ListenError,
  type OperatorServerOptions,
} from './server.js';
export * from './service.js';
export * from './settings.js';
export {TokenGuard} from './token.js';
