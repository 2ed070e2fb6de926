/** Connections that carry attempts. */

import {endHeldAnswer} from '@wasabidyke/shared';
import {Client, Pool, type buildConnector} from 'undici';
import type {Attempt, AttemptDispatchOptions} from './attempt.js';

/** Options of a pool; its connections carry one attempt at a time. */
export type AttemptPoolOptions = Omit<
  Pool.Options,
  'connect' | 'factory' | 'pipelining'
>;

/** Creates a pool for attempts, whose answers may be held back by slow callers. */
export function createAttemptPool(
  origin: string,
  options: AttemptPoolOptions,
): Pool {
  return new Pool(origin, {...options, pipelining: 1, factory: createClient});
}

function createClient(origin: URL, options: object): Client {
  // The pool has made a connector of its options.
  const poolOptions = options as {connect: buildConnector.connector};
  let current: Attempt | undefined;
  const client = new Client(origin, {
    ...poolOptions,
    connect: (target, callback) =>
      poolOptions.connect(target, (...result) => {
        const socket = result[1];
        if (socket) {
          endHeldAnswer(socket, () => current?.onConnectionEnd());
        }
        callback(...result);
      }),
  });
  const dispatch = client.dispatch.bind(client);
  client.dispatch = (request, handler) => {
    current = (request as Partial<AttemptDispatchOptions>).attempt;
    return dispatch(request, handler);
  };
  return client;
}
