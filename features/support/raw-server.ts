/** A TCP server that answers whatever it is sent with given bytes and ends the connection. */

import {once} from 'node:events';
import {createServer, type AddressInfo, type Server} from 'node:net';

/** The server. */
export class RawServer {
  readonly #server: Server;
  #answers: readonly Uint8Array[];
  /** Connections on which bytes were received. */
  received = 0;

  private constructor(answers: readonly Uint8Array[]) {
    this.#answers = answers;
    this.#server = createServer(socket => {
      socket.on('error', () => socket.destroy());
      socket.once('data', () => {
        this.received += 1;
        const [answer, ...rest] = this.#answers;
        this.#answers = rest.length === 0 ? [answer] : rest;
        socket.end(answer);
      });
    });
  }

  /** Listens; answers are given in their order, the last one again and again. */
  static async listen(answers: readonly Uint8Array[]): Promise<RawServer> {
    const server = new RawServer(answers);
    server.#server.listen(0, '127.0.0.1');
    await once(server.#server, 'listening');
    return server;
  }

  /** Where it listens, as an origin. */
  get origin(): string {
    const {port} = this.#server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  /** Ends it. */
  close(): void {
    this.#server.close();
  }
}
