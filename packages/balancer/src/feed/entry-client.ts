/** Sends messages to other entries over HTTP. */

import {parseJson, readLimitedBody} from '@wasabidyke/shared';
import {Pool} from 'undici';

/** Time to open a connection to another entry, in milliseconds: several round trips between regions. */
const CONNECT_TIMEOUT_MS = 200;

/** Maximum size of an answer, in bytes: that of the messages. */
const MAXIMUM_ANSWER_BYTES = 1_048_576;

/** A message to another entry. */
export interface EntryMessage {
  /** IP address and port at which the entry takes messages. */
  readonly address: string;
  readonly path: string;
  readonly body: string;
  /** Time for the answer, in milliseconds. */
  readonly timeoutMs: number;
}

/** What became of a message. */
export type EntryAnswer =
  | {readonly kind: 'answered'; readonly body: unknown}
  /** The entry runs, but didn't take the message; one of another build may not know it. */
  | {readonly kind: 'rejected'; readonly status: number}
  | {readonly kind: 'silent'};

/** Sends messages; keeps the connections to those that get many. */
export class EntryClient {
  readonly #kept = new Map<string, Pool>();

  /** Sends a message on a connection of its own. */
  async post(message: EntryMessage): Promise<EntryAnswer> {
    const pool = connect(message.address);
    if (pool === undefined) {
      return {kind: 'silent'};
    }
    const answer = await send(pool, message);
    close(pool);
    return answer;
  }

  /** Sends a message on a connection that is kept until it fails. */
  async postKept(message: EntryMessage): Promise<EntryAnswer> {
    const {address} = message;
    const pool = this.#kept.get(address) ?? connect(address);
    if (pool === undefined) {
      return {kind: 'silent'};
    }
    this.#kept.set(address, pool);
    const answer = await send(pool, message);
    if (answer.kind === 'silent' && this.#kept.get(address) === pool) {
      // An open connection may have fallen silent while new ones work.
      this.#kept.delete(address);
      close(pool);
    }
    return answer;
  }

  /** Closes the kept connections to all other addresses. */
  retain(addresses: readonly string[]): void {
    for (const [address, pool] of this.#kept) {
      if (!addresses.includes(address)) {
        this.#kept.delete(address);
        close(pool);
      }
    }
  }

  close(): void {
    this.retain([]);
  }
}

/** Returns undefined if the address is not valid: it comes from the record of another entry. */
function connect(address: string): Pool | undefined {
  try {
    return new Pool(`http://${address}`, {
      connections: 1,
      connect: {timeout: CONNECT_TIMEOUT_MS},
    });
  } catch {
    return undefined;
  }
}

function close(pool: Pool): void {
  // Requests in flight end with a failure of their own; the promise adds nothing.
  pool.destroy().catch(() => {});
}

async function send(
  pool: Pool,
  {path, body, timeoutMs}: EntryMessage,
): Promise<EntryAnswer> {
  try {
    const answer = await pool.request({
      method: 'POST',
      path,
      headers: {'content-type': 'application/json'},
      body,
      signal: AbortSignal.timeout(timeoutMs),
    });
    const read = await readLimitedBody(answer.body, MAXIMUM_ANSWER_BYTES);
    const {statusCode: status} = answer;
    return status === 200
      ? {kind: 'answered', body: parseJson(read.toString('utf8'))}
      : {kind: 'rejected', status};
  } catch {
    // The caller logs what it concludes from a missing answer.
    return {kind: 'silent'};
  }
}

/** The parsed body of an answer; undefined if the message was not taken. */
export function bodyOf(answer: EntryAnswer | undefined): unknown {
  return answer?.kind === 'answered' ? answer.body : undefined;
}
