/** A link between callers and one entry: a delay each way, and a bandwidth for what comes from the entry. */

import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** Relays connections to a port. */
export class Link {
  #server;
  #sockets = new Set();

  /** @param options `port` of the entry, `delayMs` one way, and `bytesPerMs` for each connection. */
  constructor({port, delayMs, bytesPerMs}) {
    this.#server = createServer({allowHalfOpen: true}, caller => {
      const entry = connect({port, host: '127.0.0.1', allowHalfOpen: true});
      for (const socket of [caller, entry]) {
        this.#sockets.add(socket);
        socket.once('close', () => this.#sockets.delete(socket));
        socket.on('error', () => {});
      }
      caller.on('data', chunk =>
        setTimeout(() => entry.destroyed || entry.write(chunk), delayMs),
      );
      caller.once('close', () => setTimeout(() => entry.destroy(), delayMs));
      entry.on('data', async chunk => {
        entry.pause();
        setTimeout(() => caller.destroyed || caller.write(chunk), delayMs);
        await sleep(chunk.length / bytesPerMs);
        entry.resume();
      });
      entry.once('close', () => setTimeout(() => caller.end(), delayMs));
      entry.once('end', () => setTimeout(() => caller.end(), delayMs));
    });
  }

  /** Listens on a free port; returns it. */
  async listen() {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    return this.#server.address().port;
  }

  close() {
    this.#server.close();
    this.#sockets.forEach(socket => socket.destroy());
  }
}
