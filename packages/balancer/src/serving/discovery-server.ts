/** Tells callers which entries to use, the platform whether this one is ready, and operators its metrics. */

import type {MetricRegistry} from '@wasabidyke/shared';
import Fastify, {type FastifyInstance} from 'fastify';
import type {EntryRoster} from '../members/entry-roster.js';
import type {DiscoveryProtocol} from './discovery-protocol.js';

/** What the server needs. */
export interface DiscoveryServerOptions {
  readonly protocol: DiscoveryProtocol;
  readonly roster: EntryRoster;
  readonly metrics: MetricRegistry;
  /** How long callers may keep a list of entries, in milliseconds. */
  readonly maximumAgeMs: number;
  readonly isReady: () => boolean;
  /** Whether lists may be given out: there is a configuration. */
  readonly isListing: () => boolean;
}

/** An address to listen at. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** How long an idle connection is kept, in milliseconds. */
const IDLE_MS = 20_000;

/** Answers questions about entries. */
export class DiscoveryServer {
  readonly #options: DiscoveryServerOptions;
  readonly #servers: FastifyInstance[] = [];

  constructor(options: DiscoveryServerOptions) {
    this.#options = options;
  }

  /** Starts to listen at the addresses, which may be the same. @throws When one can't be had. */
  async listen(addresses: readonly ListenAddress[]): Promise<void> {
    const distinct = new Map(
      addresses.map(address => [`${address.host}:${address.port}`, address]),
    );
    for (const address of distinct.values()) {
      const server = this.#createServer();
      this.#servers.push(server);
      await server.listen(address);
    }
  }

  async close(): Promise<void> {
    await Promise.all(this.#servers.map(server => server.close()));
  }

  #createServer(): FastifyInstance {
    const {protocol, metrics, isReady} = this.#options;
    const server = Fastify({
      keepAliveTimeout: IDLE_MS,
      forceCloseConnections: true,
    });
    server.get(protocol.entriesPath, (request, reply) => {
      const query = new URL(request.url, 'http://entry').searchParams;
      const body = this.#list(query);
      reply.type('application/json');
      return body === undefined ? reply.code(503).send('{}') : reply.send(body);
    });
    server.get(protocol.readinessPath, (_request, reply) =>
      reply.code(isReady() ? 200 : 503).send(''),
    );
    server.get('/metrics', (_request, reply) =>
      reply.type('text/plain; version=0.0.4').send(metrics.render()),
    );
    return server;
  }

  #list(query: URLSearchParams): string | undefined {
    const {protocol, roster, maximumAgeMs, isListing} = this.#options;
    const addresses = roster.list(protocol.readPlace(query));
    if (!isListing() || addresses.length === 0) {
      return undefined;
    }
    return protocol.writeEntries(addresses, maximumAgeMs);
  }
}
