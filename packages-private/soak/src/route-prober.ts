/** Sends requests to each entry on the routes that were just added or removed, or that never were. */

import {setTimeout as sleep} from 'node:timers/promises';
import type {RandomSource} from '@wasabidyke/policy';
import type {KeyChoice} from './accounts.js';
import {COMING_PREFIX, DEEP_PREFIX} from './changing-routes.js';
import type {EntryProcess} from './entry-process.js';
import {nowMs, type History} from './history.js';
import {noteAnswer} from './raw-answer.js';
import {RawConnection} from './raw-connection.js';
import {toRawRequest} from './raw-request.js';
import {HOST, OTHER_HOST, type RouteRecord} from './routes.js';

/** Pause between two requests to one entry, their deadline, and time after which one is given up, in milliseconds. */
const PAUSE_MS = 200;
const DEADLINE_MS = 1_000;
const PATIENCE_MS = 1_500;

/** What comes and goes, and what never was. */
const DOUBTFUL: ReadonlyArray<Pick<RouteRecord, 'host' | 'prefix'>> = [
  HOST,
  OTHER_HOST,
].flatMap(host =>
  [COMING_PREFIX, DEEP_PREFIX, '/never/'].map(prefix => ({host, prefix})),
);

/** What probes need. */
export interface RouteProberOptions {
  /** Entries that run now or will again. */
  readonly listEntries: () => readonly EntryProcess[];
  readonly history: History;
  readonly random: RandomSource;
  readonly chooseKey: KeyChoice;
}

/** Probes all entries. */
export class RouteProber {
  readonly #options: RouteProberOptions;
  readonly #connections = new Map<string, RawConnection>();
  readonly #probes = new Set<Promise<void>>();
  #sent = 0;
  #isStopped = false;

  constructor(options: RouteProberOptions) {
    this.#options = options;
  }

  /** Sends requests until it is stopped. */
  async run(): Promise<void> {
    const busy = new Set<string>();
    while (!this.#isStopped) {
      for (const {address} of this.#options.listEntries()) {
        if (!busy.has(address)) {
          busy.add(address);
          const probe = this.#probe(address).finally(() => {
            busy.delete(address);
            this.#probes.delete(probe);
          });
          this.#probes.add(probe);
        }
      }
      await sleep(PAUSE_MS);
    }
    await Promise.all(this.#probes);
    this.#connections.forEach(connection => connection.close());
  }

  stop(): void {
    this.#isStopped = true;
  }

  async #probe(address: string): Promise<void> {
    const {history, random, chooseKey} = this.#options;
    let connection = this.#connections.get(address);
    if (connection === undefined || connection.isClosed) {
      connection = new RawConnection(address);
      this.#connections.set(address, connection);
    }
    this.#sent += 1;
    const {host, prefix} = this.#pickRoute();
    const {call, text} = toRawRequest({
      deadlineMs: DEADLINE_MS,
      call: {
        id: `probe-${this.#sent}`,
        kind: 'safe',
        path: `${prefix}probe-${this.#sent}`,
        entry: address,
        sentAtMs: nowMs(),
        key: chooseKey(random)?.key,
        host,
      },
    });
    history.calls.push(call);
    const given = connection;
    const timer = setTimeout(() => {
      call.leftAtMs = nowMs();
      given.close();
    }, PATIENCE_MS);
    const answer = connection.nextAnswer();
    await connection.write(text, undefined);
    if (noteAnswer(call, await answer)) {
      connection.close();
    }
    clearTimeout(timer);
  }

  /** One of the newest configuration for half of the requests. */
  #pickRoute(): Pick<RouteRecord, 'host' | 'prefix'> {
    const {history, random} = this.#options;
    const there = (history.configurations.at(-1)?.routes ?? []).filter(
      ({prefix}) => prefix.startsWith(COMING_PREFIX),
    );
    const routes =
      there.length > 0 && random.nextBelow(2) === 0 ? there : DOUBTFUL;
    return routes[random.nextBelow(routes.length)];
  }
}
