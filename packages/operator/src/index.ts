/** The operators' interface of an entry: its messages, server, client and settings. */

export {
  formatSocketAddress,
  isLoopbackHost,
  parseSocketAddress,
  type SocketAddress,
} from '@wasabidyke/shared';
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
