/** The store behind etcd v3's published HTTP/JSON gateway. */

import {Err, Ok, parseJson, type Result} from '@wasabidyke/shared';
import {
  GRPC_NOT_FOUND,
  decodeBase64,
  encodeBase64,
  leaseGrantAnswerSchema,
  leaseKeepAliveAnswerSchema,
  rangeAnswerSchema,
  transactionAnswerSchema,
  watchAnswerSchema,
  type GatewayKeyValue,
} from './gateway-messages.js';
import {Gateway, type GatewayOptions} from './gateway.js';
import {
  Store,
  type Lease,
  type StoreError,
  type StoreValue,
  type SwapAnswer,
  type SwapOptions,
  type Watch,
  type WatchListener,
} from './store.js';
import {z} from 'zod';

/** How the store is reached. */
export interface EtcdStoreOptions extends GatewayOptions {
  /** Stands before every key, such as `/wasabidyke/`. */
  readonly prefix: string;
}

/** A store reached through etcd's gateway. Versions of keys are etcd's modification revisions. */
export class EtcdStore extends Store {
  readonly #gateway: Gateway;
  readonly #prefix: string;

  /** @throws TypeError when an endpoint is no URL or there is none. */
  constructor(options: EtcdStoreOptions) {
    super();
    this.#gateway = new Gateway(options);
    this.#prefix = options.prefix;
  }

  override async read(
    key: string,
  ): Promise<Result<StoreValue | undefined, StoreError>> {
    const message = {key: this.#encodeKey(key)};
    const answer = await this.#gateway.call(
      'range',
      message,
      rangeAnswerSchema,
    );
    return answer.map(({kvs}) => this.#toValue(key, kvs));
  }

  override async compareAndSwap(
    options: SwapOptions,
  ): Promise<Result<SwapAnswer, StoreError>> {
    const {key, value} = options;
    const answer = await this.#gateway.call(
      'transaction',
      this.#toTransaction(options),
      transactionAnswerSchema,
    );
    return answer.map(({succeeded, header, responses}) => {
      if (succeeded) {
        const present = {key, value, version: header.revision};
        return {isSwapped: true, present};
      }
      const kvs = responses[0]?.response_range?.kvs ?? [];
      return {isSwapped: false, present: this.#toValue(key, kvs)};
    });
  }

  override async grantLease(
    timeToLiveSeconds: number,
  ): Promise<Result<Lease, StoreError>> {
    const message = {TTL: String(timeToLiveSeconds)};
    const answer = await this.#gateway.call(
      'lease-grant',
      message,
      leaseGrantAnswerSchema,
    );
    return answer.map(({ID, TTL}) => ({id: ID, timeToLiveSeconds: TTL}));
  }

  override async keepLeaseAlive(
    lease: Lease,
  ): Promise<Result<boolean, StoreError>> {
    const answer = await this.#gateway.call(
      'lease-keepalive',
      {ID: lease.id},
      leaseKeepAliveAnswerSchema,
    );
    return answer.map(({result}) => result.ID === lease.id && result.TTL > 0);
  }

  override async revokeLease(
    lease: Lease,
  ): Promise<Result<boolean, StoreError>> {
    const message = {ID: lease.id};
    const answer = await this.#gateway.call(
      'lease-revoke',
      message,
      z.object({}),
    );
    if (answer.isErr()) {
      const isGone = answer.error.code === GRPC_NOT_FOUND;
      return isGone ? Ok(false) : Err(answer.error);
    }
    return Ok(true);
  }

  override watch(key: string, listener: WatchListener): Watch {
    const message = {create_request: {key: this.#encodeKey(key)}};
    const stream = this.#gateway.openStream(message, {
      onLine: line => this.#onWatchLine(key, line, listener, close),
      onEnd: reason =>
        listener.onEnd({kind: 'unknown-outcome', message: reason}),
    });
    const close = () => stream?.close();
    if (stream === undefined) {
      const error = {kind: 'rate-limited', message: 'too many calls'} as const;
      queueMicrotask(() => listener.onEnd(error));
    }
    return {close};
  }

  override async close(): Promise<void> {
    await this.#gateway.close();
  }

  #onWatchLine(
    key: string,
    line: string,
    listener: WatchListener,
    close: () => void,
  ): void {
    const parsed = watchAnswerSchema.safeParse(parseJson(line));
    if (!parsed.success || parsed.data.result.canceled) {
      close();
      listener.onEnd(toWatchError(parsed.data?.result.cancel_reason));
      return;
    }
    const {created, events} = parsed.data.result;
    if (created) {
      listener.onStart();
    }
    for (const {type, kv} of events) {
      const isDeleted = type === 'DELETE';
      listener.onValue(isDeleted ? undefined : this.#toValue(key, [kv]));
    }
  }

  #toTransaction(options: SwapOptions): object {
    const key = this.#encodeKey(options.key);
    const compare = {
      key,
      target: 'MOD',
      result: 'EQUAL',
      mod_revision: String(options.expectedVersion),
    };
    const put = {
      key,
      value: encodeBase64(options.value),
      lease: options.lease?.id ?? '0',
    };
    return {
      compare: [compare],
      success: [{request_put: put}],
      failure: [{request_range: {key}}],
    };
  }

  #encodeKey(key: string): string {
    return encodeBase64(this.#prefix + key);
  }

  #toValue(
    key: string,
    kvs: readonly GatewayKeyValue[],
  ): StoreValue | undefined {
    const [first] = kvs;
    if (first === undefined) {
      return undefined;
    }
    const value = decodeBase64(first.value);
    return {key, value, version: first.mod_revision};
  }
}

function toWatchError(cancelReason: string | undefined): StoreError {
  return cancelReason === undefined
    ? {kind: 'malformed', message: 'a line of the watch cannot be read'}
    : {kind: 'refused', message: `the watch was cancelled: ${cancelReason}`};
}
