/** A caller that keeps a connection until its entry closes it, pipelines look-ups, idles for long, sends requests right at the limits, and tries routes that come and go. */

import {setTimeout as sleep} from 'node:timers/promises';
import type {SeededRandom} from '@wasabidyke/policy';
import type {KeyChoice} from './accounts.js';
import {
  COMING_PREFIX,
  DEEP_PREFIX,
  LEAST_LIMITS,
  SPLIT_PREFIX,
  WEIGHTLESS_PREFIX,
} from './changing-routes.js';
import type {EntryProcess} from './entry-process.js';
import {nowMs, type CallRecord, type History} from './history.js';
import {IDLE_TIMEOUT_MS} from './operator.js';
import {noteAnswer} from './raw-answer.js';
import {RawConnection} from './raw-connection.js';
import {
  toRawRequest,
  type RawRequest,
  type RawRequestOptions,
} from './raw-request.js';
import {HOST, OTHER_HOST, type LimitRecord} from './routes.js';

/** Deadline that requests name, and time after which the caller gives up, in milliseconds. */
const DEADLINE_MS = 2_000;
const PATIENCE_MS = 2_500;

/** Longest pause between rounds, in milliseconds, one round in so many that is followed by an idle time, and the longest of these. Source: callers use connections that were idle for four fifths of the limit. */
const LONGEST_PAUSE_MS = 250;
const IDLE_ONE_IN = 12;
const LONGEST_IDLE_MS = 0.8 * IDLE_TIMEOUT_MS;

const MOST_PIPELINED = 6;

/** Largest chunk of a body, in bytes. */
const LARGEST_CHUNK_BYTES = 300;

/** Routes that are always there, and prefixes that may have a route or never have one. */
const STEADY_PREFIXES = ['/read/', SPLIT_PREFIX, WEIGHTLESS_PREFIX];
const DOUBTFUL_PREFIXES = [COMING_PREFIX, DEEP_PREFIX, '/never/'];

/** What a caller needs. */
export interface RawCallerOptions {
  readonly name: string;
  /** Entries that run now or will again. */
  readonly listEntries: () => readonly EntryProcess[];
  readonly history: History;
  readonly random: SeededRandom;
  readonly chooseKey: KeyChoice;
  /** Where callers reach an entry, by the address that it names; undefined to connect to the entry itself. */
  readonly linkOf?: (address: string) => string | undefined;
}

/** One such caller. */
export class RawCaller {
  readonly #options: RawCallerOptions;
  #connection: RawConnection | undefined;
  #entry = '';
  #sent = 0;
  #isStopped = false;

  constructor(options: RawCallerOptions) {
    this.#options = options;
  }

  /** Sends requests until it is stopped. */
  async run(): Promise<void> {
    const {random} = this.#options;
    while (!this.#isStopped) {
      await this.#play(this.#open());
      const isIdle = random.nextBelow(IDLE_ONE_IN) === 0;
      await this.#pause(
        random.nextBelow(isIdle ? LONGEST_IDLE_MS : LONGEST_PAUSE_MS),
      );
    }
    this.#connection?.close();
  }

  stop(): void {
    this.#isStopped = true;
  }

  async #pause(forMs: number): Promise<void> {
    const untilMs = nowMs() + forMs;
    while (!this.#isStopped && nowMs() < untilMs) {
      await sleep(Math.min(LONGEST_PAUSE_MS, untilMs - nowMs()));
    }
  }

  /** Keeps to one connection until the entry closes it. */
  #open(): RawConnection {
    if (this.#connection === undefined || this.#connection.isClosed) {
      const {listEntries, random, linkOf} = this.#options;
      const entries = listEntries();
      this.#entry = entries[random.nextBelow(entries.length)].address;
      const link = linkOf?.(this.#entry) ?? this.#entry;
      this.#connection = new RawConnection(link);
    }
    return this.#connection;
  }

  async #play(connection: RawConnection): Promise<void> {
    const {random, history} = this.#options;
    const requests = this.#draw();
    const isInPieces = random.nextBelow(2) === 0;
    const answers = requests.map(({call}) => {
      history.calls.push(call);
      return connection.nextAnswer();
    });
    const taken = Promise.all(
      answers.map(async (answer, index) =>
        noteAnswer(requests[index].call, await answer),
      ),
    );
    const timer = setTimeout(() => {
      const leftAtMs = nowMs();
      for (const {call} of requests) {
        call.leftAtMs = call.endedAtMs === undefined ? leftAtMs : undefined;
      }
      connection.close();
    }, PATIENCE_MS);
    await connection.write(
      requests.map(({text}) => text).join(''),
      isInPieces ? bound => random.nextBelow(bound) : undefined,
    );
    const isClosing = await taken;
    clearTimeout(timer);
    giveUpBehind(
      requests.map(({call}) => call),
      isClosing,
    );
    if (isClosing.includes(true)) {
      connection.close();
    }
  }

  /** Draws the requests of one round, which are sent at once. */
  #draw(): readonly RawRequest[] {
    const {random} = this.#options;
    switch (random.nextBelow(5)) {
      case 0:
        return Array.from(
          {length: 2 + random.nextBelow(MOST_PIPELINED - 1)},
          () => this.#create('safe', this.#pick(STEADY_PREFIXES)),
        );
      case 1:
        return [
          this.#create('safe', this.#pick(STEADY_PREFIXES), {
            fill: {headBytes: this.#chooseLimits().headBytes},
          }),
        ];
      case 2:
        return [
          this.#create('unsafe', '/write/', {
            fill: this.#chooseLimits(),
            drawChunkBytes:
              random.nextBelow(2) === 0
                ? () => 1 + random.nextBelow(LARGEST_CHUNK_BYTES)
                : undefined,
          }),
        ];
      default:
        return [
          this.#create('safe', this.#pick(DOUBTFUL_PREFIXES), {
            host: this.#pick([HOST, OTHER_HOST]),
          }),
        ];
    }
  }

  /** The limits of the newest configuration, or those that all configurations allow. */
  #chooseLimits(): LimitRecord {
    const {random, history} = this.#options;
    const newest = history.configurations.at(-1)?.limits ?? LEAST_LIMITS;
    return random.nextBelow(2) === 0 ? newest : LEAST_LIMITS;
  }

  #create(
    kind: CallRecord['kind'],
    prefix: string,
    {
      host,
      ...options
    }: Pick<RawRequestOptions, 'fill' | 'drawChunkBytes'> & {
      readonly host?: string;
    } = {},
  ): RawRequest {
    const {name, random, chooseKey} = this.#options;
    this.#sent += 1;
    return toRawRequest({
      ...options,
      deadlineMs: DEADLINE_MS,
      call: {
        id: `${name}-${this.#sent}`,
        kind,
        path: `${prefix}${name}-${this.#sent}`,
        entry: this.#entry,
        sentAtMs: nowMs(),
        key: chooseKey(random)?.key,
        host,
      },
    });
  }

  #pick<Value>(values: readonly Value[]): Value {
    return values[this.#options.random.nextBelow(values.length)];
  }
}

/** What was sent behind an answer that closes its connection counts as not read. */
function giveUpBehind(
  calls: readonly CallRecord[],
  isClosing: readonly boolean[],
): void {
  const last = isClosing.indexOf(true);
  for (const call of last === -1 ? [] : calls.slice(last + 1)) {
    call.leftAtMs ??= call.endedAtMs;
  }
}
