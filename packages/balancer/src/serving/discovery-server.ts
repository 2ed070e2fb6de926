/** Serves the list of entries to callers, the readiness check to the platform, and metrics to operators. */

import {once} from 'node:events';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {parseRequestTarget, type MetricRegistry} from '@wasabidyke/shared';
import type {EntryRoster} from '../members/entry-roster.js';
import {toLoggedPath, type OwnAnswers} from '../reporting/own-answers.js';
import type {RoutingTable} from '../routing/routing-table.js';
import type {DiscoveryProtocol} from './discovery-protocol.js';

/** Options of `DiscoveryServer`. */
export interface DiscoveryServerOptions {
  readonly protocol: DiscoveryProtocol;
  readonly roster: EntryRoster;
  readonly metrics: MetricRegistry;
  readonly ownAnswers: OwnAnswers;
  /** How long callers may cache a list of entries, in milliseconds. */
  readonly maximumAgeMs: number;
  readonly isReady: () => boolean;
  /** Returns the current routing table; undefined before the first configuration. Lists are served only with one. */
  readonly table: () => RoutingTable | undefined;
}

/** An address to listen on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** How long an idle connection stays open, in milliseconds. */
const IDLE_TIMEOUT_MS = 20_000;

const METRICS_PATH = '/metrics';
const TEXT_TYPE = 'text/plain';
const JSON_TYPE = 'application/json';

/** HTTP server for entry discovery, readiness and metrics. */
export class DiscoveryServer {
  readonly #options: DiscoveryServerOptions;
  readonly #servers: Server[] = [];
  #maximumAgeMs: number;

  constructor(options: DiscoveryServerOptions) {
    this.#options = options;
    this.#maximumAgeMs = options.maximumAgeMs;
  }

  /** Sets how long callers may cache a list, in milliseconds. */
  applyMaximumAge(maximumAgeMs: number): void {
    this.#maximumAgeMs = maximumAgeMs;
  }

  /** Listens on the addresses; equal ones share a server. @throws If an address can't be bound. */
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

  /** Stops listening and closes all connections. */
  close(): void {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  #createServer(): Server {
    return createServer(
      {keepAliveTimeout: IDLE_TIMEOUT_MS},
      (request, response) => this.#answer(request, response),
    );
  }

  #answer(request: IncomingMessage, response: ServerResponse): void {
    const {protocol, metrics, isReady} = this.#options;
    const url = parseRequestTarget(request.url ?? '/');
    switch (url?.pathname) {
      case protocol.entriesPath:
        this.#sendEntries(url.searchParams, response);
        return;
      case protocol.readinessPath:
        send(response, isReady() ? 200 : 503, TEXT_TYPE, '');
        return;
      case METRICS_PATH:
        send(response, 200, `${TEXT_TYPE}; version=0.0.4`, metrics.render());
        return;
      default:
        this.#refuseUnknown(request, response);
    }
  }

  #refuseUnknown(request: IncomingMessage, response: ServerResponse): void {
    const {url = '/', socket} = request;
    const status = 404;
    this.#options.ownAnswers.record(
      {event: 'discovery.refused', status, reason: 'unknown-discovery-path'},
      {path: toLoggedPath(url), address: socket.remoteAddress},
    );
    send(response, status, TEXT_TYPE, '');
  }

  #sendEntries(query: URLSearchParams, response: ServerResponse): void {
    const {protocol, roster, table} = this.#options;
    const place = protocol.readPlace(query);
    const allowed = table()?.findHostRegions(place.host ?? '');
    const addresses = roster.list(place, allowed);
    if (table() === undefined || addresses.length === 0) {
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
  contentType: string,
  body: string,
): void {
  response.writeHead(status, {
    'content-type': contentType,
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}
