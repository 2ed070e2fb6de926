/**
 * Chooses the entry through which a request is relayed when this one doesn't
 * reach its upstreams: a near one with few requests, and not one that lately
 * didn't reach them either.
 */

import {Backoff} from '@wasabidyke/shared';
import type {RandomSource} from './selection.js';
import type {Distance} from './upstream-load.js';

/** Another entry. */
export interface RelayCandidate {
  readonly name: string;
  readonly distance: Distance;
}

/** Pauses before an entry that couldn't serve a relayed request gets another one, in milliseconds; its links may be back within the longest. */
const MINIMUM_PAUSE_MS = 250;
const MAXIMUM_PAUSE_MS = 2_000;

/** What a request in flight counts, by distance: a round trip between regions is worth several requests of queueing. */
const DISTANCE_WEIGHTS: Readonly<Record<Distance, number>> = {
  'same-zone': 1,
  'same-region': 2,
  'other-region': 8,
};

/** Distances from near to far. */
const DISTANCES: readonly Distance[] = [
  'same-zone',
  'same-region',
  'other-region',
];

/** Entries drawn of each distance, the least loaded of which is chosen. */
const DRAWN = 2;

/** An entry that didn't serve a service. */
interface Pause {
  readonly backoff: Backoff;
  untilMs: number;
}

/** Keeps what this entry knows of the others as relays. */
export class RelayChoice {
  readonly #random: RandomSource;
  readonly #pauses = new Map<string, Pause>();
  /** Requests that this entry relays through others, by their names. */
  readonly #inFlight = new Map<string, number>();
  /** Requests that others last said to have in flight. */
  readonly #reported = new Map<string, number>();

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /**
   * Chooses an entry; undefined if none is likely to serve.
   * @param tried Entries that the request was relayed to. The next one is
   * farther away, since near ones often lose their links together.
   */
  choose(
    service: string,
    candidates: readonly RelayCandidate[],
    tried: ReadonlySet<string>,
    nowMs: number,
  ): RelayCandidate | undefined {
    const available = candidates.filter(
      ({name}) => !tried.has(name) && !this.#isPaused(service, name, nowMs),
    );
    const farther = available.filter(
      ({distance}) => DISTANCES.indexOf(distance) >= tried.size,
    );
    const eligible = farther.length > 0 ? farther : available;
    const drawn = DISTANCES.flatMap(distance =>
      this.#draw(eligible.filter(entry => entry.distance === distance)),
    );
    const scored = drawn.map(entry => ({entry, score: this.#scoreOf(entry)}));
    scored.sort((left, right) => left.score - right.score);
    return scored[0]?.entry;
  }

  /** Called when a request is relayed to an entry. */
  onStart(name: string): void {
    this.#inFlight.set(name, this.#inFlightOf(name) + 1);
  }

  /** Called when a relayed request has ended. @param reportedInFlight What the entry said that it has in flight; undefined if it said nothing. */
  onEnd(name: string, reportedInFlight: number | undefined): void {
    const inFlight = this.#inFlightOf(name) - 1;
    if (inFlight > 0) {
      this.#inFlight.set(name, inFlight);
    } else {
      this.#inFlight.delete(name);
    }
    if (reportedInFlight === undefined) {
      this.#reported.delete(name);
    } else {
      this.#reported.set(name, reportedInFlight);
    }
  }

  /** Called when an entry has served a request of a service. */
  onServed(service: string, name: string): void {
    this.#pauses.delete(toKey(service, name));
  }

  /** Called when an entry doesn't reach the service either, or doesn't answer. */
  onFailed(service: string, name: string, nowMs: number): void {
    const key = toKey(service, name);
    const pause = this.#pauses.get(key) ?? {
      backoff: new Backoff({
        minimumMs: MINIMUM_PAUSE_MS,
        maximumMs: MAXIMUM_PAUSE_MS,
      }),
      untilMs: nowMs,
    };
    if (nowMs >= pause.untilMs) {
      // Requests that were relayed at the same time fail together.
      pause.untilMs = nowMs + pause.backoff.nextDelayMs();
    }
    this.#pauses.set(key, pause);
  }

  /** Forgets entries that are no longer announced. */
  retain(names: ReadonlySet<string>): void {
    for (const key of this.#pauses.keys()) {
      if (!names.has(nameIn(key))) {
        this.#pauses.delete(key);
      }
    }
    for (const name of this.#reported.keys()) {
      if (!names.has(name)) {
        this.#reported.delete(name);
      }
    }
  }

  #isPaused(service: string, name: string, nowMs: number): boolean {
    const pause = this.#pauses.get(toKey(service, name));
    return pause !== undefined && nowMs < pause.untilMs;
  }

  #draw(entries: readonly RelayCandidate[]): readonly RelayCandidate[] {
    if (entries.length <= DRAWN) {
      return entries;
    }
    const first = this.#random.nextBelow(entries.length);
    const step = 1 + this.#random.nextBelow(entries.length - 1);
    return [entries[first], entries[(first + step) % entries.length]];
  }

  #scoreOf({name, distance}: RelayCandidate): number {
    const reported = this.#reported.get(name) ?? 0;
    const load = Math.max(reported, this.#inFlightOf(name)) + 1;
    return load * DISTANCE_WEIGHTS[distance];
  }

  #inFlightOf(name: string): number {
    return this.#inFlight.get(name) ?? 0;
  }
}

const SEPARATOR = '\n';

function toKey(service: string, name: string): string {
  return `${service}${SEPARATOR}${name}`;
}

function nameIn(key: string): string {
  return key.slice(key.indexOf(SEPARATOR) + 1);
}
