/** Reads records from the entry that feeds this one, over HTTP. */

import {
  Err,
  Ok,
  parseJson,
  readLimitedBody,
  type Clock,
  type Result,
} from '@wasabidyke/shared';
import {Pool} from 'undici';
import type {RecordChanges, RecordStoreError} from '../store/record-store.js';
import type {StorePosition} from '../store/store-eras.js';
import type {DepartedStart} from '../members/upstream-record.js';
import {
  DEPARTURES_QUERY,
  ERA_QUERY,
  FEED_PATH,
  feedSchema,
  toRecordChanges,
} from './feed-messages.js';

/** Records from a feeder. */
export interface FedChanges extends RecordChanges {
  /** When the store confirmed that none is missing, on the monotonic clock in milliseconds. */
  readonly confirmedAtMs: number;
  /** When they were asked for, on the same clock. */
  readonly askedAtMs: number;
  /** Upstreams that have left, in the first answer of a feeder. */
  readonly departures: readonly DepartedStart[];
}

/** Long-poll time of a request to a feeder, in milliseconds. Source: two in a chain plus the interval between revision reads stay within `MAXIMUM_FEED_AGE_MS`. */
const FEED_WAIT_MS = 500;

/** Time for a feeder's response beyond the long-poll time, in milliseconds. */
const RESPONSE_MARGIN_MS = 250;

/** Time to open a connection to a feeder, in milliseconds: several round trips between regions. */
const CONNECT_TIMEOUT_MS = 200;

/** Maximum size of a response, in bytes: several times what all records take at the size aimed for. */
const MAXIMUM_FEED_BYTES = 16_777_216;

/** Status of a feeder that no longer keeps the changes after the requested revision. */
const HISTORY_LOST_STATUS = 410;

/** A connection to one feeder. */
export class FeederConnection {
  readonly name: string;
  readonly #pool: Pool;
  readonly #clock: Clock;
  #hasDepartures = false;

  /** @param address IP address and port at which the feeder serves records. */
  constructor(name: string, address: string, clock: Clock) {
    this.name = name;
    this.#clock = clock;
    this.#pool = new Pool(`http://${address}`, {
      connections: 1,
      pipelining: 1,
      connect: {timeout: CONNECT_TIMEOUT_MS},
    });
  }

  /** Reads all records that the feeder has. @param era Era of the store that this entry knows. */
  readAll(era: number): Promise<Result<FedChanges, RecordStoreError>> {
    return this.#fetch(toEraQuery(era), RESPONSE_MARGIN_MS);
  }

  /** Waits for changes after a position. */
  watch({
    era,
    revision,
  }: StorePosition): Promise<Result<FedChanges, RecordStoreError>> {
    // The first answer isn't waited for: it tells of departures.
    const waitMs = this.#hasDepartures ? FEED_WAIT_MS : 0;
    const query = {after: String(revision), waitMs: String(waitMs)};
    return this.#fetch(
      {...query, ...toEraQuery(era)},
      waitMs + RESPONSE_MARGIN_MS,
    );
  }

  /** Closes the connection; requests in flight fail. */
  close(): void {
    this.#pool.destroy().catch(() => {});
  }

  async #fetch(
    query: Readonly<Record<string, string>>,
    timeoutMs: number,
  ): Promise<Result<FedChanges, RecordStoreError>> {
    const asked: Record<string, string> = this.#hasDepartures
      ? {}
      : {[DEPARTURES_QUERY]: '1'};
    const path = `${FEED_PATH}?${String(new URLSearchParams({...query, ...asked}))}`;
    const askedAtMs = this.#clock.now();
    try {
      const signal = AbortSignal.timeout(timeoutMs);
      const response = await this.#pool.request({method: 'GET', path, signal});
      const read = await readLimitedBody(response.body, MAXIMUM_FEED_BYTES);
      if (response.statusCode === HISTORY_LOST_STATUS) {
        return Err({
          kind: 'history-lost',
          message: 'the feeder no longer keeps the requested changes',
        });
      }
      if (response.statusCode !== 200) {
        return unavailable(
          `feeder responded with status ${response.statusCode}`,
        );
      }
      // The error of `JSON.parse` would quote the text, which holds the keys of client accounts.
      const parsed = feedSchema.safeParse(parseJson(read.toString('utf8')));
      if (!parsed.success) {
        return unavailable(parsed.error.message);
      }
      this.#hasDepartures = true;
      const {ageMs = Infinity, departures} = parsed.data;
      const confirmedAtMs = this.#clock.now() - ageMs;
      const changes = toRecordChanges(parsed.data);
      return Ok({...changes, confirmedAtMs, askedAtMs, departures});
    } catch (error) {
      return unavailable(String(error));
    }
  }
}

function toEraQuery(era: number): Record<string, string> {
  return {[ERA_QUERY]: String(era)};
}

function unavailable(message: string): Result<never, RecordStoreError> {
  return Err({kind: 'unavailable', message});
}
