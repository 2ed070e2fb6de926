/** Calls to etcd v3's HTTP/JSON gateway at one of several endpoints, each with a deadline and under a limit on calls. */

import {Pool} from 'undici';
import {
  Err,
  Ok,
  parseJson,
  type Clock,
  type MetricRegistry,
  type Result,
} from '@wasabidyke/shared';
import type {z} from 'zod';
import {CallRate} from './call-rate.js';
import {exchange, type HttpAnswer} from './exchange.js';
import {gatewayErrorSchema, isRefusalCode} from './gateway-messages.js';
import {LineStream, type LineListener} from './line-stream.js';
import type {StoreError, StoreErrorKind} from './store.js';

/** Connections to each endpoint, besides one for each watch. */
const CONNECTIONS_PER_ENDPOINT = 8;

/** Streams that stand at a time. */
const MAXIMUM_STREAMS = 64;

/** How the gateway is called. */
export interface GatewayOptions {
  /** Origins, such as `http://192.0.2.10:2379`; at least one. */
  readonly endpoints: readonly string[];
  /** Time until a call's answer must be whole, in milliseconds. */
  readonly callTimeoutMs: number;
  /** Calls allowed per second; a watch counts as one when it begins. */
  readonly callsPerSecond: number;
  readonly metrics: MetricRegistry;
  readonly clock: Clock;
}

/** Names of the calls, as metrics label them. */
export type CallName =
  | 'range'
  | 'transaction'
  | 'lease-grant'
  | 'lease-keepalive'
  | 'lease-revoke'
  | 'watch';

/** An error of a call, with the gRPC code that the store gave, where it gave one. */
export interface GatewayError extends StoreError {
  readonly code?: number;
}

const PATHS: Readonly<Record<CallName, string>> = {
  range: '/v3/kv/range',
  transaction: '/v3/kv/txn',
  'lease-grant': '/v3/lease/grant',
  'lease-keepalive': '/v3/lease/keepalive',
  'lease-revoke': '/v3/lease/revoke',
  watch: '/v3/watch',
};

/** Calls the gateway. */
export class Gateway {
  readonly #options: GatewayOptions;
  readonly #pools: readonly Pool[];
  readonly #rate: CallRate;
  readonly #streams = new Set<LineStream>();
  #current = 0;

  /** @throws TypeError when an endpoint is no URL or there is none. */
  constructor(options: GatewayOptions) {
    if (options.endpoints.length === 0) {
      throw new TypeError('the store needs at least one endpoint');
    }
    this.#options = options;
    const connect = {
      timeout: Math.ceil(options.callTimeoutMs / options.endpoints.length),
    };
    this.#pools = options.endpoints.map(
      endpoint =>
        new Pool(endpoint, {connections: CONNECTIONS_PER_ENDPOINT, connect}),
    );
    this.#rate = new CallRate(options.callsPerSecond, options.clock);
  }

  /** Sends a call and reads its answer by `schema`. */
  async call<Schema extends z.ZodType>(
    name: CallName,
    message: object,
    schema: Schema,
  ): Promise<Result<z.infer<Schema>, GatewayError>> {
    const startMs = this.#options.clock.now();
    const answer = await this.#send(name, JSON.stringify(message));
    const result = answer.andThen(whole => readAnswer(whole, schema));
    this.#count(name, result.isOk() ? 'ok' : result.error.kind);
    this.#options.metrics
      .histogram('wasabidyke_store_call_seconds', 'Time of calls to the store.')
      .record(this.#options.clock.now() - startMs);
    return result;
  }

  /** Opens a stream; undefined when the limit on calls or on streams is reached. */
  openStream(message: object, listener: LineListener): LineStream | undefined {
    const isFull = this.#streams.size >= MAXIMUM_STREAMS;
    if (isFull || !this.#rate.tryTake()) {
      this.#count('watch', 'rate-limited');
      return undefined;
    }
    this.#count('watch', 'opened');
    const {endpoints, callTimeoutMs} = this.#options;
    const request = {
      endpoint: endpoints[this.#current],
      path: PATHS.watch,
      body: JSON.stringify(message),
      startTimeoutMs: callTimeoutMs,
    };
    const stream = new LineStream(request, listener, isBroken => {
      this.#streams.delete(stream);
      if (isBroken) {
        this.#moveOn();
      }
    });
    this.#streams.add(stream);
    return stream;
  }

  /** Ends all connections. */
  async close(): Promise<void> {
    for (const stream of [...this.#streams]) {
      stream.close();
    }
    await Promise.all(this.#pools.map(pool => pool.destroy()));
  }

  async #send(
    name: CallName,
    body: string,
  ): Promise<Result<HttpAnswer, GatewayError>> {
    if (!this.#rate.tryTake()) {
      const message = `more than ${this.#options.callsPerSecond} calls a second`;
      return Err({kind: 'rate-limited', message});
    }
    const deadlineMs = this.#options.clock.now() + this.#options.callTimeoutMs;
    let message = '';
    for (let attempt = 0; attempt < this.#pools.length; attempt++) {
      const timeoutMs = deadlineMs - this.#options.clock.now();
      if (timeoutMs <= 0) {
        break;
      }
      const request = {method: 'POST', path: PATHS[name], body} as const;
      const pool = this.#pools[this.#current];
      const end = await exchange(pool, {...request, timeoutMs});
      if (end.kind === 'answered') {
        return Ok(end.answer);
      }
      this.#moveOn();
      message = end.failure.message;
      if (end.failure.wasSent) {
        return Err({kind: 'unknown-outcome', message});
      }
    }
    return Err({kind: 'unreachable', message});
  }

  #moveOn(): void {
    this.#current = (this.#current + 1) % this.#pools.length;
  }

  #count(call: CallName, outcome: StoreErrorKind | 'ok' | 'opened'): void {
    const help = 'Calls to the store by kind and outcome.';
    this.#options.metrics
      .counter('wasabidyke_store_calls_total', help, {call, outcome})
      .add();
  }
}

function readAnswer<Schema extends z.ZodType>(
  answer: HttpAnswer,
  schema: Schema,
): Result<z.infer<Schema>, GatewayError> {
  const content = parseJson(firstLine(answer.text));
  if (answer.status !== 200) {
    return Err(toGatewayError(answer.status, content));
  }
  const parsed = schema.safeParse(content);
  return parsed.success
    ? Ok(parsed.data)
    : Err({kind: 'malformed', message: 'the answer cannot be read'});
}

function toGatewayError(status: number, content: unknown): GatewayError {
  const parsed = gatewayErrorSchema.safeParse(content);
  if (!parsed.success) {
    const message = `status ${status} without a readable error`;
    return {kind: 'malformed', message};
  }
  const {code, message} = parsed.data;
  const kind = isRefusalCode(code) ? 'refused' : 'unknown-outcome';
  return {kind, code, message};
}

function firstLine(text: string): string {
  const end = text.trimStart().indexOf('\n');
  return end === -1 ? text : text.trimStart().slice(0, end);
}
