/** A site with client accounts, and requests as its callers write them, byte by byte. */

import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import type {BalancerSite} from './balancer-site.js';
import {eventually} from './eventually.js';

/** Accounts as operators write them. The keys contain a word that must be found nowhere else. */
export const ACCOUNTS = {
  alpha: {api_keys: ['secret-alpha-1', 'secret-alpha-2'], priority: 0},
  beta: {api_keys: ['secret-beta, 1'], priority: 5},
  nobody: {api_keys: []},
};

/** What all keys of the tests contain. */
export const SECRET = 'secret-';

/** A public route, as operators write it. */
export const PUBLIC_ROUTE = {
  host: 'shop.example',
  prefix: '/open/',
  kind: 'safe',
  timeout: '1000ms',
  target_latency: '200ms',
  priority: 1,
  max_attempts: 2,
  service: 'shop',
  public: true,
};

/** Writes a configuration with the accounts of the site, and waits until all entries have it. */
export async function configureAccounts(
  site: BalancerSite,
  accounts: object,
): Promise<void> {
  site.accounts = accounts;
  site.configure({open: PUBLIC_ROUTE});
  await applied(site);
}

/** Waits until all entries have the configuration that was written last. */
export async function applied(site: BalancerSite): Promise<void> {
  for (let entry = 0; entry < site.entries; entry++) {
    await eventually('the configuration is in force', async () => {
      const {body} = await site.get(2, '/metrics', entry);
      const version = /^wasabidyke_configuration_version (\d+)$/m.exec(body);
      return Number(version?.[1]) === site.version;
    });
  }
}

/** Writes a request. @param fields Header fields, separated by ` ~ `; empty for none. */
export function toRequestText(
  line: string,
  fields: string,
  id: string,
  body = '',
): string {
  const lines = [
    `${line} HTTP/1.1`,
    'Host: shop.example',
    `Wasabidyke-Attempt-Id: ${id}`,
    `Content-Length: ${body.length}`,
    ...fields.split(' ~ ').filter(field => field !== ''),
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

/** A connection of a caller. */
export class CallerConnection {
  readonly #socket: Socket;
  #received = '';

  private constructor(socket: Socket) {
    this.#socket = socket;
    socket.on('data', chunk => (this.#received += chunk.toString('latin1')));
    socket.on('error', () => socket.destroy());
  }

  /** Connects to a port of this machine. */
  static async open(port: number): Promise<CallerConnection> {
    const socket = connect(port, '127.0.0.1');
    await once(socket, 'connect');
    return new CallerConnection(socket);
  }

  /** Statuses of the answers so far. */
  get statuses(): readonly number[] {
    return [...this.#received.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(match =>
      Number(match[1]),
    );
  }

  write(text: string): void {
    this.#socket.write(text, 'latin1');
  }

  /** Waits for so many answers in all; returns their statuses. */
  async answered(count: number): Promise<readonly number[]> {
    await eventually('it is answered', () => this.statuses.length >= count);
    return this.statuses;
  }

  close(): void {
    this.#socket.destroy();
  }
}
