/** The way between callers and one entry: each byte, and each end of a connection, takes its time. */

import {once} from 'node:events';
import {connect, createServer} from 'node:net';

/** Passes connections on to a port. */
export class Link {
  #server;

  /** @param options `port` of the entry, and `delayMs` one way. */
  constructor({port, delayMs}) {
    const options = {allowHalfOpen: true, noDelay: true};
    this.#server = createServer(options, caller => {
      const entry = connect({port, host: '127.0.0.1', ...options});
      join(caller, entry, delayMs);
      join(entry, caller, delayMs);
    });
  }

  /** Listens on a free port; returns it. */
  async listen() {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    return this.#server.address().port;
  }
}

/** Passes on what comes from one side. */
function join(from, to, delayMs) {
  const later = act => setTimeout(() => to.destroyed || act(), delayMs);
  from.on('error', () => {});
  from.on('data', chunk => later(() => to.write(chunk)));
  from.once('end', () => later(() => to.end()));
  from.once('close', () => later(() => to.destroy()));
}
