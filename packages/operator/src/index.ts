/** The operators' interface of an entry: its messages, its server and its client. */

export * from './address.js';
export * from './client.js';
export * from './messages.js';
export * from './problem.js';
export {
  OperatorServer,
  createOperatorServer,
  type ListenError,
  type OperatorServerOptions,
} from './server.js';
export * from './service.js';
export {TokenGuard} from './token.js';
