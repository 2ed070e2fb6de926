/** An entry of an older build, as far as other entries see it. */

import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';

/** Builds that landed, by what their entries know: checks of each other came with 9812e0f. */
export type OlderBuild = 'c71b7fa' | '9812e0f';

const KNOWN_PATHS: Readonly<Record<OlderBuild, readonly string[]>> = {
  c71b7fa: ['/v1/suspects'],
  '9812e0f': ['/v1/suspects', '/v1/liveness', '/v1/liveness/check'],
};

/** The entry. */
export class OlderEntry {
  readonly name: string;
  build: OlderBuild;
  sequence = Date.now();
  /** Whether it takes messages and answers none. */
  isSilent = false;
  /** Paths of the messages that it got. */
  readonly messages: string[] = [];
  /** Their bodies. */
  readonly bodies: string[] = [];
  readonly #server: Server;

  constructor(name: string, build: OlderBuild) {
    this.name = name;
    this.build = build;
    this.#server = createServer((request, response) => {
      const path = request.url ?? '';
      this.messages.push(path);
      const isKnown = KNOWN_PATHS[this.build].includes(path);
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => {
        this.bodies.push(Buffer.concat(chunks).toString('latin1'));
        if (this.isSilent) {
          return;
        }
        response.writeHead(isKnown ? 200 : 404, {
          'content-type': 'application/json',
        });
        response.end(isKnown ? this.#answer : '{}');
      });
    });
  }

  async listen(): Promise<void> {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** What it announces; sequences came with 9812e0f. */
  get record(): object {
    const {name, address} = this;
    const place = {region: 'home', zone: 'home-a'};
    const record = {name, address, feedAddress: address, ...place};
    return this.build === 'c71b7fa'
      ? record
      : {...record, sequence: this.sequence};
  }

  /** What it says of itself. */
  statement(isUp: boolean): object {
    const {name, sequence} = this;
    return {name, sequence, isUp, reporter: name};
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  get #answer(): string {
    return JSON.stringify({statements: [this.statement(true)]});
  }
}
