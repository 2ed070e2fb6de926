/** Asks an entry through its operators' interface. */

import type {ManifestRecord} from '@wasabidyke/manifest';
import {
  Err,
  MEBIBYTE,
  Ok,
  SECOND_MS,
  type Result,
  type TimeLineEvent,
} from '@wasabidyke/shared';
import {Client, type Dispatcher} from 'undici';
import type {z} from 'zod';
import {
  entryListSchema,
  entryStatusSchema,
  loadWatchStatusSchema,
  manifestAnswerSchema,
  manifestStatusSchema,
  problemSchema,
  submissionAnswerSchema,
  timeLineSchema,
  upstreamListSchema,
  type EntryRow,
  type EntryStatus,
  type LoadWatchStatus,
  type ManifestStatus,
  type ManifestSubmission,
  type SubmissionAnswer,
  type UpstreamRow,
} from './messages.js';

/** Time for a whole exchange where no other is given. */
const DEFAULT_DEADLINE_MS = 10 * SECOND_MS;

/** Largest answer that is read. */
const MAXIMUM_ANSWER_BYTES = 32 * MEBIBYTE;

/** Errors after which nothing can have reached the entry. */
const UNREACHABLE_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Why a question to an entry has no answer. */
export interface OperatorError {
  readonly kind:
    /** Nothing reached the entry. */
    | 'unreachable'
    /** The question may have arrived, the answer did not. */
    | 'no-answer'
    /** The entry refused the question. */
    | 'refused'
    /** The answer cannot be read. */
    | 'malformed';
  readonly message: string;
  /** HTTP status of a refusal. */
  readonly status?: number;
}

/** How to reach an entry. */
export interface OperatorClientOptions {
  /** IP address and port of its operators' interface. */
  readonly address: string;
  readonly token?: string;
  /** Time for a whole exchange, in milliseconds. */
  readonly deadlineMs?: number;
}

interface Exchange {
  readonly status: number;
  readonly content: unknown;
}

/** A client of one entry's operators' interface. Every call has a deadline. */
export class OperatorClient {
  readonly address: string;
  readonly #client: Client;
  readonly #headers: Readonly<Record<string, string>>;
  readonly #deadlineMs: number;

  constructor({address, token, deadlineMs}: OperatorClientOptions) {
    this.address = address;
    this.#client = new Client(`http://${address}`);
    this.#headers =
      token === undefined ? {} : {authorization: `Bearer ${token}`};
    this.#deadlineMs = deadlineMs ?? DEFAULT_DEADLINE_MS;
  }

  /** The entry itself. */
  readStatus(): Promise<Result<EntryStatus, OperatorError>> {
    return this.#get('/v1/status', entryStatusSchema);
  }

  /** The record in force. */
  readManifest(): Promise<Result<ManifestRecord, OperatorError>> {
    return this.#get('/v1/manifest', manifestAnswerSchema);
  }

  /** The revision in force at every entry. */
  readManifestStatus(): Promise<Result<ManifestStatus, OperatorError>> {
    return this.#get('/v1/manifest/status', manifestStatusSchema);
  }

  /** Every entry that the asked one knows. */
  async listEntries(): Promise<Result<readonly EntryRow[], OperatorError>> {
    const answer = await this.#get('/v1/entries', entryListSchema);
    return answer.map(({entries}) => entries);
  }

  /** Every upstream as the asked entry sees it. */
  async listUpstreams(): Promise<
    Result<readonly UpstreamRow[], OperatorError>
  > {
    const answer = await this.#get('/v1/upstreams', upstreamListSchema);
    return answer.map(({upstreams}) => upstreams);
  }

  /** The budget for watching load. */
  readLoadWatch(): Promise<Result<LoadWatchStatus, OperatorError>> {
    return this.#get('/v1/load-watch', loadWatchStatusSchema);
  }

  /** The newest events of the asked entry. */
  async listEvents(): Promise<Result<readonly TimeLineEvent[], OperatorError>> {
    const answer = await this.#get('/v1/time-line', timeLineSchema);
    return answer.map(({events}) => events);
  }

  /** Submits a manifest. Safe to call again with the same submission identity. */
  async submitManifest(
    submission: ManifestSubmission,
  ): Promise<Result<SubmissionAnswer, OperatorError>> {
    const exchange = await this.#exchange({
      method: 'POST',
      path: '/v1/manifest',
      headers: {...this.#headers, 'content-type': 'application/json'},
      body: JSON.stringify(submission),
    });
    if (exchange.isErr()) {
      return exchange;
    }
    const answer = submissionAnswerSchema.safeParse(exchange.value.content);
    return answer.success ? Ok(answer.data) : Err(toRefusal(exchange.value));
  }

  /** Ends all connections. */
  async close(): Promise<void> {
    await this.#client.destroy();
  }

  async #get<Schema extends z.ZodType>(
    path: string,
    schema: Schema,
  ): Promise<Result<z.infer<Schema>, OperatorError>> {
    const headers = this.#headers;
    const exchange = await this.#exchange({method: 'GET', path, headers});
    if (exchange.isErr()) {
      return exchange;
    }
    const answer = schema.safeParse(exchange.value.content);
    const isGood = exchange.value.status === 200 && answer.success;
    return isGood ? Ok(answer.data) : Err(toRefusal(exchange.value));
  }

  async #exchange(
    request: Dispatcher.RequestOptions,
  ): Promise<Result<Exchange, OperatorError>> {
    const signal = AbortSignal.timeout(this.#deadlineMs);
    try {
      const answer = await this.#client.request({...request, signal});
      const text = await readText(answer.body);
      return Ok({status: answer.statusCode, content: JSON.parse(text)});
    } catch (error) {
      return Err(this.#toError(error, signal.aborted));
    }
  }

  #toError(error: unknown, isLate: boolean): OperatorError {
    const where = `the entry at ${this.address}`;
    if (isLate) {
      const message = `No answer from ${where} within ${this.#deadlineMs} ms.`;
      return {kind: 'no-answer', message};
    }
    const {code, message: cause} = toDetails(error);
    if (UNREACHABLE_CODES.has(code)) {
      return {kind: 'unreachable', message: `Cannot reach ${where}: ${cause}`};
    }
    if (error instanceof SyntaxError || error instanceof AnswerTooLarge) {
      const message = `Cannot read the answer of ${where}: ${cause}`;
      return {kind: 'malformed', message};
    }
    return {kind: 'no-answer', message: `No answer from ${where}: ${cause}`};
  }
}

class AnswerTooLarge extends Error {}

async function readText(body: AsyncIterable<Buffer>): Promise<string> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of body) {
    length += chunk.length;
    if (length > MAXIMUM_ANSWER_BYTES) {
      throw new AnswerTooLarge(`It exceeds ${MAXIMUM_ANSWER_BYTES} bytes.`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function toRefusal({status, content}: Exchange): OperatorError {
  const problem = problemSchema.safeParse(content);
  if (!problem.success) {
    const message = `The answer with status ${status} is not of the expected shape.`;
    return {kind: 'malformed', status, message};
  }
  return {kind: 'refused', status, message: problem.data.detail};
}

function toDetails(error: unknown): {code: string; message: string} {
  if (!(error instanceof Error)) {
    return {code: '', message: String(error)};
  }
  const code = 'code' in error ? String(error.code) : '';
  return {code, message: error.message};
}
