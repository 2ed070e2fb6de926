/** Tells when a response has ended, or can't be written any more. */

import type {ServerResponse} from 'node:http';

/**
 * Calls a listener once, when a response is written whole or its connection
 * has closed. Node.js emits no event for a response that waits behind another
 * one when their connection closes. Returns a function that removes the
 * listener.
 */
export function onceClosed(
  response: ServerResponse,
  listener: () => void,
): () => void {
  const {socket} = response.req;
  let isRemoved = false;
  const remove = () => {
    isRemoved = true;
    response.off('close', onClose);
    socket.off('close', onClose);
  };
  const onClose = () => {
    // Either event may be emitted within the other.
    if (!isRemoved) {
      remove();
      listener();
    }
  };
  response.once('close', onClose);
  socket.once('close', onClose);
  return remove;
}
