/** Tells callers which entries to use, the platform whether this one is ready, and operators its metrics. */

import {once} from 'node:events';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {MetricRegistry} from '@wasabidyke/shared';
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

const METRICS_PATH = '/metrics';
const TEXT = 'text/plain';
const JSON_TYPE = 'application/json';

/** Answers questions about entries. */
export class DiscoveryServer {
  readonly #options: DiscoveryServerOptions;
  readonly #servers: Server[] = [];
  #maximumAgeMs: number;

  constructor(options: DiscoveryServerOptions) {
    this.#options = options;
    this.#maximumAgeMs = options.maximumAgeMs;
  }

  /** Takes over how long callers may keep a list. */
  applyMaximumAge(maximumAgeMs: number): void {
    this.#maximumAgeMs = maximumAgeMs;
  }

  /** Starts to listen at the addresses, which may be the same. @throws When one can't be had. */
  async listen(addresses: readonly ListenAddress[]): Promise<void> {
    const distinct = new Map(
      addresses.map(address => [`${address.host}:${address.port}`, address]),
    );
    for (const address of distinct.values()) {
      const server = this.#createServer();
      this.#servers.push(server);
      server.listen(address.port, address.host);
      await once(server, 'listening');
    }
  }

  /** Closes all connections. */
  close(): void {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  #createServer(): Server {
    return createServer({keepAliveTimeout: IDLE_MS}, (request, response) =>
      this.#answer(request, response),
    );
  }

  #answer(request: IncomingMessage, response: ServerResponse): void {
    const {protocol, metrics, isReady} = this.#options;
    const url = new URL(request.url ?? '/', 'http://entry');
    switch (url.pathname) {
      case protocol.entriesPath:
        this.#sendEntries(url.searchParams, response);
        return;
      case protocol.readinessPath:
        send(response, isReady() ? 200 : 503, TEXT, '');
        return;
      case METRICS_PATH:
        send(response, 200, `${TEXT}; version=0.0.4`, metrics.render());
        return;
      default:
        send(response, 404, TEXT, '');
    }
  }

  #sendEntries(query: URLSearchParams, response: ServerResponse): void {
    const {protocol, roster, isListing} = this.#options;
    const addresses = roster.list(protocol.readPlace(query));
    if (!isListing() || addresses.length === 0) {
      send(response, 503, JSON_TYPE, '{}');
      return;
    }
    const body = protocol.writeEntries(addresses, this.#maximumAgeMs);
    send(response, 200, JSON_TYPE, body);
  }
}

function send(
  response: ServerResponse,
  status: number,
  type: string,
  body: string,
): void {
  response.writeHead(status, {
    'content-type': type,
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}
