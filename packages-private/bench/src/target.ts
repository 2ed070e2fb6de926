/** What requests are sent to. */

import {Pool} from 'undici';
import {Exchange} from './exchange.js';

/** How a request ended for its caller. */
export type RequestEnd = 'answered' | 'refused' | 'failed';

/** What requests are sent to. */
export abstract class Target {
  /** Sends one request and waits for its whole answer. Never rejects. */
  abstract send(): Promise<RequestEnd>;

  /** Closes connections. */
  abstract close(): Promise<void>;
}

/** Status of an answer that says the request was refused. */
const REFUSED_STATUS = 503;

/** Addresses that callers spread their requests over, in turn. */
export class AddressTarget extends Target {
  readonly #pools: readonly Pool[];
  readonly #path: string;
  readonly #timeoutMs: number;
  #next = 0;

  constructor(addresses: readonly string[], path: string, timeoutMs: number) {
    super();
    this.#pools = addresses.map(address => createPool(address));
    this.#path = path;
    this.#timeoutMs = timeoutMs;
  }

  override async send(): Promise<RequestEnd> {
    this.#next = (this.#next + 1) % this.#pools.length;
    const pool = this.#pools[this.#next];
    const exchange = new Exchange(pool, this.#path, this.#timeoutMs);
    const {status} = await exchange.result;
    return toRequestEnd(status);
  }

  override async close(): Promise<void> {
    await Promise.all(this.#pools.map(pool => pool.destroy()));
  }
}

/** Creates connections to an address of the form `host:port`. */
export function createPool(address: string): Pool {
  return new Pool(`http://${address}`, {connections: null, pipelining: 1});
}

/** How an answer's status is counted. */
export function toRequestEnd(status: number): RequestEnd {
  if (status === REFUSED_STATUS) {
    return 'refused';
  }
  return status >= 200 && status < 300 ? 'answered' : 'failed';
}
