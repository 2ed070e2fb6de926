/**
 * Feeds the records that this entry knows to younger entries, so that not each
 * of them has to watch the store. It does so only while what it knows is fresh,
 * whether it reads the store itself or is fed.
 */

import {once} from 'node:events';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {ListenAddress} from '../serving/discovery-server.js';
import {FEED_MAXIMUM_AGE_MS, FEED_PATH, writeFeed} from './feed-messages.js';
import type {RecordHistory} from './record-history.js';

/** Longest wait of one question, in milliseconds. */
const LONGEST_WAIT_MS = 5_000;

/** How long an idle connection is kept, in milliseconds. */
const IDLE_MS = 20_000;

/** What the server needs. */
export interface FeedServerOptions {
  readonly history: RecordHistory;
  /** Time since the store itself told that nothing is missing, in milliseconds; infinite while it is lost. */
  readonly ageMs: () => number;
}

/** Feeds records. */
export class FeedServer {
  readonly #options: FeedServerOptions;
  readonly #server: Server;

  constructor(options: FeedServerOptions) {
    this.#options = options;
    this.#server = createServer(
      {keepAliveTimeout: IDLE_MS},
      (request, response) => void this.#answer(request, response),
    );
  }

  /** Starts to listen. @throws When the address can't be had. */
  async listen({host, port}: ListenAddress): Promise<void> {
    this.#server.listen(port, host);
    await once(this.#server, 'listening');
  }

  /** Closes all connections: followers read the store themselves. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://entry');
    if (url.pathname !== FEED_PATH) {
      send(response, 404, '{}');
      return;
    }
    const after = readNumber(url, 'after');
    if (after !== undefined) {
      const waitMs = Math.min(readNumber(url, 'waitMs') ?? 0, LONGEST_WAIT_MS);
      await this.#options.history.waitAfter(after, waitMs);
    }
    this.#sendRecords(response, after);
  }

  #sendRecords(response: ServerResponse, after: number | undefined): void {
    const {history} = this.#options;
    const ageMs = this.#options.ageMs();
    if (ageMs > FEED_MAXIMUM_AGE_MS) {
      send(response, 503, '{}');
      return;
    }
    const read =
      after === undefined ? history.readAll() : history.readAfter(after);
    if (read === undefined) {
      send(response, 410, '{}');
    } else {
      send(response, 200, writeFeed(read, ageMs));
    }
  }
}

function readNumber(url: URL, name: string): number | undefined {
  const text = url.searchParams.get(name);
  return text !== null && /^\d+$/.test(text) ? Number(text) : undefined;
}

function send(response: ServerResponse, status: number, body: string): void {
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}
