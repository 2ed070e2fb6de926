/**
 * Serves store records to younger entries, so that not every entry has to
 * watch the store. It serves them only while they are fresh, whether this entry
 * reads the store itself or follows another entry. Takes messages of other
 * entries: suspects while the store fails, and checks of which entries are up.
 */

import {once} from 'node:events';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {SuspectRecord} from '@wasabidyke/policy';
import {parseJson, parseRequestTarget} from '@wasabidyke/shared';
import {toLoggedPath, type OwnAnswers} from '../reporting/own-answers.js';
import type {ListenAddress} from '../serving/discovery-server.js';
import {UNNAMED_ERA, type StorePosition} from '../store/store-eras.js';
import type {DepartedStart} from '../members/upstream-record.js';
import {
  DEPARTURES_QUERY,
  ERA_QUERY,
  MAXIMUM_FEED_AGE_MS,
  FEED_PATH,
  serializeFeed,
} from './feed-messages.js';
import {MemoryBudget} from '../exchange/memory-budget.js';
import {RELAY_PATH} from '../relay/relay-messages.js';
import {readBody} from '../serving/body-reader.js';
import {LIMITS_PATH, MAXIMUM_LIMITS_BYTES} from '../limits/limit-messages.js';
import {
  MAXIMUM_QUOTA_BYTES,
  QUOTA_DEMAND_PATH,
  QUOTA_PATH,
} from '../quotas/quota-messages.js';
import {
  CHECK_PATH,
  LIVENESS_PATH,
  MAXIMUM_LIVENESS_BYTES,
} from '../members/liveness-messages.js';
import {SUSPECTS_PATH} from '../suspects/peer-notifier.js';
import {
  MAXIMUM_UPSTREAM_CHECK_BYTES,
  UPSTREAM_CHECK_PATH,
} from '../suspects/upstream-check.js';
import {suspectRecordsSchema} from '../suspects/suspect-record.js';
import type {RecordHistory} from './record-history.js';

/** Maximum long-poll time of a request, in milliseconds. */
const MAXIMUM_WAIT_MS = 5_000;

/** Time for which an entry counts as followed after a request for records, in milliseconds: a few long polls. */
const FEEDING_MS = 3_000;

/** Time for which an idle connection is kept open, in milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 20_000;

/** Maximum size of a message with suspects, in bytes: four times what 64 records with 16 upstreams each take. */
const MAXIMUM_SUSPECTS_BYTES = 262_144;

/** Memory for messages that are being received, in bytes: dozens of the largest. */
const MESSAGE_MEMORY_BYTES = 16_777_216;

/** Time in which a message must be complete, in milliseconds: its sender waits no longer. */
const MESSAGE_TIMEOUT_MS = 5_000;

/** Maximum size of the messages that are taken, by path. */
const MAXIMUM_BYTES_BY_PATH: Readonly<Record<string, number | undefined>> = {
  [SUSPECTS_PATH]: MAXIMUM_SUSPECTS_BYTES,
  [LIVENESS_PATH]: MAXIMUM_LIVENESS_BYTES,
  [CHECK_PATH]: MAXIMUM_LIVENESS_BYTES,
  [LIMITS_PATH]: MAXIMUM_LIMITS_BYTES,
  [UPSTREAM_CHECK_PATH]: MAXIMUM_UPSTREAM_CHECK_BYTES,
  [QUOTA_PATH]: MAXIMUM_QUOTA_BYTES,
  [QUOTA_DEMAND_PATH]: MAXIMUM_QUOTA_BYTES,
};

/** Answers the messages by which entries check each other; undefined if a message can't be read. */
export interface LivenessResponder {
  onStatements(message: unknown): string | undefined;
  onCheck(message: unknown): Promise<string | undefined>;
}

/** Answers the messages on quotas of accounts; undefined if a message can't be read. */
export interface QuotaMessageResponder {
  onQuery(message: unknown): Promise<string | undefined>;
  onDemand(message: unknown): string | undefined;
}

/** Options of `FeedServer`. */
export interface FeedServerOptions {
  readonly history: RecordHistory;
  /** Time since the store itself last confirmed that no record is missing, in milliseconds; infinite while the store is lost. */
  readonly ageMs: () => number;
  /** Upstreams that have left, for followers that ask. */
  readonly departures?: () => readonly DepartedStart[];
  /** Called with each suspect that another entry tells of. */
  readonly onSuspect: (record: SuspectRecord) => void;
  /** Without one, this entry takes no messages on which entries are up. */
  readonly liveness?: LivenessResponder;
  /** Takes limits of upstreams from other entries; returns undefined if the message can't be read. */
  readonly onLimits?: (message: unknown) => string | undefined;
  /** Checks an upstream for another entry; returns undefined if the message can't be read. */
  readonly onUpstreamCheck?: (message: unknown) => Promise<string | undefined>;
  /** Without one, this entry takes no messages on quotas. */
  readonly quotas?: QuotaMessageResponder;
  /** Takes requests of other entries. */
  readonly relay?: RelayResponder;
  /** Counts and logs the answers with status 4xx. */
  readonly ownAnswers?: OwnAnswers;
  /** Called when a message can't be answered because of a fault in this entry. */
  readonly onFault: (error: unknown) => void;
}

/** Serves requests of other entries. */
export interface RelayResponder {
  serve(request: IncomingMessage, response: ServerResponse): Promise<void>;
}

/** Serves records to followers over HTTP. */
export class FeedServer {
  readonly #options: FeedServerOptions;
  readonly #server: Server;
  readonly #messageMemory = new MemoryBudget(MESSAGE_MEMORY_BYTES);
  #fedAtMs = -Infinity;

  constructor(options: FeedServerOptions) {
    this.#options = options;
    this.#server = createServer(
      {keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS},
      (request, response) => {
        this.#handleRequest(request, response).catch((error: unknown) => {
          this.#options.onFault(error);
          response.destroy();
        });
      },
    );
  }

  /** Whether a follower has asked lately. */
  get isFeeding(): boolean {
    return performance.now() - this.#fedAtMs < FEEDING_MS;
  }

  /** Starts to listen. @throws When it can't bind the address. */
  async listen({host, port}: ListenAddress): Promise<void> {
    this.#server.listen(port, host);
    await once(this.#server, 'listening');
  }

  /** Closes all connections; followers then read the store themselves. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = parseRequestTarget(request.url ?? '/');
    if (url === undefined) {
      this.#refuse(response, 400, 'unreadable-target');
      return;
    }
    const {relay} = this.#options;
    if (request.method === 'POST' && url.pathname === RELAY_PATH && relay) {
      await relay.serve(request, response);
      return;
    }
    if (request.method === 'POST') {
      await this.#takeMessage(url.pathname, request, response);
      return;
    }
    if (url.pathname !== FEED_PATH) {
      this.#refuse(response, 404, 'unknown-feed-path');
      return;
    }
    this.#fedAtMs = performance.now();
    const namedEra = readNumberParameter(url, ERA_QUERY);
    const era = namedEra ?? UNNAMED_ERA;
    const revision = readNumberParameter(url, 'after');
    const after = revision === undefined ? undefined : {era, revision};
    if (after !== undefined) {
      const waitMs = Math.min(
        readNumberParameter(url, 'waitMs') ?? 0,
        MAXIMUM_WAIT_MS,
      );
      await this.#options.history.waitForChange(after, waitMs);
    }
    if (namedEra === undefined && this.#options.history.era !== UNNAMED_ERA) {
      // Its revisions may be of any era, and it can't tell these from them.
      sendJson(response, 503, '{}');
      return;
    }
    const isAsked = url.searchParams.has(DEPARTURES_QUERY);
    this.#sendRecords(response, after, isAsked);
  }

  async #takeMessage(
    path: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const limitBytes = MAXIMUM_BYTES_BY_PATH[path];
    if (limitBytes === undefined) {
      this.#refuse(response, 404, 'unknown-feed-path');
      return;
    }
    const read = await readBody(request, {
      limitBytes,
      memory: this.#messageMemory,
      withinMs: MESSAGE_TIMEOUT_MS,
    });
    if (read.kind !== 'body') {
      this.#refuse(response, 400, `message-${read.kind}`);
      return;
    }
    const text = read.body?.toString('utf8') ?? '';
    read.release();
    const answer = await this.#answer(path, parseJson(text));
    if (answer === undefined) {
      this.#refuse(response, 400, 'unreadable-message');
    } else {
      sendJson(response, 200, answer);
    }
  }

  #refuse(response: ServerResponse, status: number, reason: string): void {
    const {url = '/', socket} = response.req;
    this.#options.ownAnswers?.record(
      {event: 'message.refused', status, reason},
      {path: toLoggedPath(url), address: socket.remoteAddress},
    );
    sendJson(response, status, '{}');
  }

  /** Returns the answer to a message; undefined if it can't be read. */
  async #answer(path: string, message: unknown): Promise<string | undefined> {
    const {liveness, onLimits, onUpstreamCheck, quotas} = this.#options;
    switch (path) {
      case LIVENESS_PATH:
        return liveness?.onStatements(message);
      case CHECK_PATH:
        return liveness?.onCheck(message);
      case LIMITS_PATH:
        return onLimits?.(message);
      case UPSTREAM_CHECK_PATH:
        return onUpstreamCheck?.(message);
      case QUOTA_PATH:
        return quotas?.onQuery(message);
      case QUOTA_DEMAND_PATH:
        return quotas?.onDemand(message);
      default:
        return this.#takeSuspects(message);
    }
  }

  #takeSuspects(message: unknown): string | undefined {
    const parsed = suspectRecordsSchema.safeParse(message);
    if (!parsed.success) {
      return undefined;
    }
    parsed.data.forEach(record => this.#options.onSuspect(record));
    return '{}';
  }

  #sendRecords(
    response: ServerResponse,
    after: StorePosition | undefined,
    areDeparturesAsked: boolean,
  ): void {
    const {history, departures} = this.#options;
    const ageMs = this.#options.ageMs();
    if (ageMs > MAXIMUM_FEED_AGE_MS) {
      sendJson(response, 503, '{}');
      return;
    }
    const read =
      after === undefined ? history.readAll() : history.readChangesAfter(after);
    if (read === undefined) {
      // Followers are told so whenever they come late: it is counted only.
      this.#options.ownAnswers?.count(410, 'history-lost');
      sendJson(response, 410, '{}');
    } else {
      const told = areDeparturesAsked ? departures?.() : undefined;
      sendJson(response, 200, serializeFeed(read, ageMs, told));
    }
  }
}

function readNumberParameter(url: URL, name: string): number | undefined {
  const text = url.searchParams.get(name);
  return text !== null && /^-?\d+$/.test(text) ? Number(text) : undefined;
}

function sendJson(
  response: ServerResponse,
  status: number,
  body: string,
): void {
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}
