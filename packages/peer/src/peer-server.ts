/** The HTTP/2 server for calls from peers. */

import {
  createServer,
  type Http2Server,
  type Http2ServerRequest,
  type Http2ServerResponse,
  type Http2Session,
} from 'node:http2';
import type {AddressInfo, Socket} from 'node:net';
import {
  createConnectRouter,
  createContextKey,
  createContextValues,
  type ConnectRouter,
  type HandlerContext,
  type ServiceImpl,
} from '@connectrpc/connect';
import {
  compressionGzip,
  universalRequestFromNodeRequest,
  universalResponseToNodeResponse,
} from '@connectrpc/connect-node';
import {KIBIBYTE, MINUTE_MS, SECOND_MS} from '@wasabidyke/shared';
import {PeerService} from './gen/wasabidyke/peer/v1/peer_pb.js';
import {MAXIMUM_MESSAGE_BYTES} from './peer-clients.js';
import type {PeerMetrics} from './peer-metrics.js';
import {closeSession} from './peer-session.js';
import type {WireMeter} from './wire-meter.js';

/** The address that a server listens on. */
export interface ListenAddress {
  /** IP address. */
  readonly host: string;
  /** Port; 0 selects a free one. */
  readonly port: number;
}

/** Largest message of an exchange or a push, in bytes. */
const MAXIMUM_TABLE_MESSAGE_BYTES = 512 * KIBIBYTE;

/** Smaller answers are not compressed. */
const COMPRESS_MINIMUM_BYTES = 16 * KIBIBYTE;

/** Maximum number of accepted connections. */
const MAXIMUM_CONNECTIONS = 512;

/** Maximum number of calls in flight on one connection. */
const MAXIMUM_STREAMS = 64;

/** Connections without a call for this long are closed. */
const IDLE_CONNECTION_MS = 5 * MINUTE_MS;

/** Longest deadline that a sender may set. */
const MAXIMUM_TIMEOUT_MS = 60 * SECOND_MS;

const socketKey = createContextKey<Socket | undefined>(undefined);

/** Serves calls from peers. */
export class PeerServer {
  readonly #server: Http2Server;
  readonly #sessions = new Map<Http2Session, Socket>();
  readonly #meter: WireMeter;
  readonly #metrics: PeerMetrics;

  constructor(
    service: ServiceImpl<typeof PeerService>,
    meter: WireMeter,
    metrics: PeerMetrics,
  ) {
    this.#meter = meter;
    this.#metrics = metrics;
    const settings = {maxConcurrentStreams: MAXIMUM_STREAMS};
    this.#server = createServer({settings}, this.#createListener(service));
    this.#server.setTimeout(IDLE_CONNECTION_MS);
    this.#server.prependListener('connection', (socket: Socket) => {
      socket.setNoDelay(true);
      meter.add(socket, 'same-region');
      this.#server.once('session', session => this.#track(session, socket));
    });
    this.#server.on('sessionError', () => undefined);
  }

  /** Starts listening. @returns IP address and port. */
  async listen({host, port}: ListenAddress): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
    this.#server.on('error', () => undefined);
    const address = this.#server.address() as AddressInfo;
    const isIpv6 = address.family === 'IPv6';
    const boundHost = isIpv6 ? `[${address.address}]` : address.address;
    return `${boundHost}:${address.port}`;
  }

  /** Counts the bytes of a call's connection under its sender's region, once that is known. */
  assignRegion(context: HandlerContext, isOwnRegion: boolean): void {
    const socket = context.values.get(socketKey);
    if (socket !== undefined) {
      const scope = isOwnRegion ? 'same-region' : 'other-region';
      this.#meter.setScope(socket, scope);
    }
  }

  /** Stops listening and closes all connections. */
  async close(): Promise<void> {
    const closed = new Promise<void>(resolve => {
      this.#server.close(() => resolve());
    });
    for (const session of this.#sessions.keys()) {
      closeSession(session);
    }
    await closed;
  }

  #track(session: Http2Session, socket: Socket): void {
    session.on('error', () => undefined);
    if (this.#sessions.size >= MAXIMUM_CONNECTIONS) {
      this.#metrics.refusals('busy').add();
      closeSession(session);
      return;
    }
    this.#sessions.set(session, socket);
    session.once('close', () => this.#sessions.delete(session));
  }

  #createListener(service: ServiceImpl<typeof PeerService>) {
    const {handlers} = createRouter(service);
    const routes = new Map(
      handlers.map(handler => [handler.requestPath, handler]),
    );
    return (request: Http2ServerRequest, response: Http2ServerResponse) => {
      const handler = routes.get(request.url);
      if (handler === undefined) {
        response.writeHead(404);
        response.end();
        return;
      }
      const session = request.stream.session;
      const socket = session && this.#sessions.get(session);
      const values = createContextValues().set(socketKey, socket);
      const call = universalRequestFromNodeRequest(
        request,
        response,
        undefined,
        values,
      );
      handler(call)
        .then(answer => universalResponseToNodeResponse(answer, response))
        .catch(() => this.#metrics.refusals('aborted').add());
    };
  }
}

function createRouter(service: ServiceImpl<typeof PeerService>): ConnectRouter {
  const router = createConnectRouter({
    grpc: false,
    grpcWeb: false,
    acceptCompression: [compressionGzip],
    compressMinBytes: COMPRESS_MINIMUM_BYTES,
    maxTimeoutMs: MAXIMUM_TIMEOUT_MS,
    writeMaxBytes: MAXIMUM_MESSAGE_BYTES,
  });
  const table = {readMaxBytes: MAXIMUM_TABLE_MESSAGE_BYTES};
  const transfer = {readMaxBytes: MAXIMUM_MESSAGE_BYTES};
  const {exchange, push, fetchManifest, handOver} = PeerService.method;
  router.rpc(exchange, service.exchange, table);
  router.rpc(push, service.push, table);
  router.rpc(fetchManifest, service.fetchManifest, table);
  router.rpc(handOver, service.handOver, transfer);
  return router;
}
