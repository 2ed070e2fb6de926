/** Clients for calls to peers, which keep one HTTP/2 connection open for each peer in use. */

import {
  Code,
  ConnectError,
  createClient,
  type Client,
} from '@connectrpc/connect';
import {
  compressionGzip,
  createConnectTransport,
} from '@connectrpc/connect-node';
import {Err, MEBIBYTE, Ok, type Clock, type Result} from '@wasabidyke/shared';
import {PeerService} from './gen/wasabidyke/peer/v1/peer_pb.js';
import type {PeerDialer} from './peer-dialer.js';
import type {ByteScope, PeerMetrics, Procedure} from './peer-metrics.js';
import type {PeerTimings} from './peer-timings.js';
import {PeerSession} from './peer-session.js';
import type {WireMeter} from './wire-meter.js';

/** Largest message between entries, in bytes. */
export const MAXIMUM_MESSAGE_BYTES = 4 * MEBIBYTE;

/** Maximum number of connections that an entry keeps open to peers. */
const MAXIMUM_CONNECTIONS = 128;

/** Maximum number of calls to peers that an entry has in flight. */
const MAXIMUM_CALLS_IN_FLIGHT = 512;

/** Why a call to a peer failed. */
export interface PeerError {
  readonly kind: 'unreachable' | 'timeout' | 'refused' | 'busy';
  readonly message: string;
}

/** A peer that can be called. */
export interface PeerTarget {
  /** IP address and port. */
  readonly address: string;
  readonly region: string;
}

/** The generated client. */
export type PeerServiceClient = Client<typeof PeerService>;

interface Connection {
  readonly client: PeerServiceClient;
  readonly session: PeerSession;
  callsInFlight: number;
  usedAtMs: number;
}

/** Options of `PeerClients`. */
export interface PeerClientsOptions {
  readonly ownRegion: string;
  readonly dialer: PeerDialer;
  readonly timings: PeerTimings;
  readonly clock: Clock;
  readonly metrics: PeerMetrics;
  readonly meter: WireMeter;
}

/** Calls peers and manages the connections to them. */
export class PeerClients {
  readonly #options: PeerClientsOptions;
  readonly #connections = new Map<string, Connection>();
  #callsInFlight = 0;

  constructor(options: PeerClientsOptions) {
    this.#options = options;
  }

  /** Makes one call with a deadline. */
  async call<Answer>(
    target: PeerTarget,
    procedure: Procedure,
    timeoutMs: number,
    send: (
      client: PeerServiceClient,
      options: {timeoutMs: number},
    ) => Promise<Answer>,
  ): Promise<Result<Answer, PeerError>> {
    const {metrics} = this.#options;
    if (this.#callsInFlight >= MAXIMUM_CALLS_IN_FLIGHT) {
      metrics.refusals('busy').add();
      return Err({
        kind: 'busy',
        message: 'Too many calls to peers are in flight.',
      });
    }
    const connection = this.#connect(target);
    metrics.callsMade(procedure).add();
    this.#callsInFlight += 1;
    connection.callsInFlight += 1;
    try {
      const options = {timeoutMs: Math.ceil(timeoutMs)};
      return Ok(await send(connection.client, options));
    } catch (error) {
      metrics.callsFailed(procedure).add();
      return Err(toPeerError(error));
    } finally {
      this.#callsInFlight -= 1;
      connection.callsInFlight -= 1;
    }
  }

  /** Closes the connection to an unresponsive peer, unless other calls use it. */
  drop(target: PeerTarget): void {
    const connection = this.#connections.get(target.address);
    if (connection !== undefined && connection.callsInFlight === 0) {
      this.#close(target.address, connection);
    }
  }

  /** Closes connections that have been unused for `idleConnectionMs`. @param nowMs Monotonic time. */
  closeIdle(nowMs: number): void {
    const {idleConnectionMs} = this.#options.timings;
    for (const [address, connection] of this.#connections) {
      const isIdle = nowMs - connection.usedAtMs >= idleConnectionMs;
      if (isIdle && connection.callsInFlight === 0) {
        this.#close(address, connection);
      }
    }
  }

  /** Closes all connections. */
  close(): void {
    for (const [address, connection] of this.#connections) {
      this.#close(address, connection);
    }
  }

  #connect(target: PeerTarget): Connection {
    const present = this.#connections.get(target.address);
    const connection = present ?? this.#open(target);
    connection.usedAtMs = this.#options.clock.now();
    this.#connections.delete(target.address);
    this.#connections.set(target.address, connection);
    return connection;
  }

  #open(target: PeerTarget): Connection {
    this.#evictLeastRecentlyUsed();
    const baseUrl = `http://${target.address}`;
    const session = new PeerSession(baseUrl, () => this.#dial(target));
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager: session,
      useBinaryFormat: true,
      acceptCompression: [compressionGzip],
      readMaxBytes: MAXIMUM_MESSAGE_BYTES,
      writeMaxBytes: MAXIMUM_MESSAGE_BYTES,
    });
    const client = createClient(PeerService, transport);
    return {client, session, callsInFlight: 0, usedAtMs: 0};
  }

  #dial({address, region}: PeerTarget) {
    const {dialer, meter, ownRegion} = this.#options;
    const socket = dialer.dial(address, region);
    const scope: ByteScope =
      region === ownRegion ? 'same-region' : 'other-region';
    meter.add(socket, scope);
    return socket;
  }

  /** Closes the least recently used connection when the maximum is reached. */
  #evictLeastRecentlyUsed(): void {
    if (this.#connections.size < MAXIMUM_CONNECTIONS) {
      return;
    }
    const [oldest] = this.#connections;
    this.#close(...oldest);
  }

  #close(address: string, {session}: Connection): void {
    this.#connections.delete(address);
    session.close();
  }
}

function toPeerError(error: unknown): PeerError {
  const {code, rawMessage: message} = ConnectError.from(error);
  switch (code) {
    case Code.DeadlineExceeded:
      return {kind: 'timeout', message};
    case Code.Unavailable:
    case Code.Aborted:
    case Code.Canceled:
    case Code.Internal:
    case Code.Unknown:
      return {kind: 'unreachable', message};
    default:
      return {kind: 'refused', message};
  }
}
