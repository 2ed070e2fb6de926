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

/** Relayed requests of a service that fail in a row until none is relayed for a pause: where half of the entries reach the service, this happens once in 256 times. */
const FAILURES_UNTIL_PAUSE = 8;

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

const DISTANCE_NAMES: ReadonlySet<string> = new Set(DISTANCES);

/** Entries drawn of each distance, the least loaded of which is chosen. */
const DRAWN = 2;

/** A time in which nothing is relayed: to one entry, to those of a distance that are not known to serve, or at all. */
class Pause {
  readonly #backoff = new Backoff({
    minimumMs: MINIMUM_PAUSE_MS,
    maximumMs: MAXIMUM_PAUSE_MS,
  });
  #untilMs = -Infinity;

  isOver(nowMs: number): boolean {
    return nowMs >= this.#untilMs;
  }

  /** Begins, and lasts longer each time. Failures within a pause are of requests that were relayed together. */
  begin(nowMs: number): void {
    if (this.isOver(nowMs)) {
      this.#untilMs = nowMs + this.#backoff.nextDelayMs();
    }
  }
}

/** Failures of a service's requests at any entry since the last that was served. */
interface ServiceFailures {
  readonly pause: Pause;
  inRow: number;
}

/** Keeps what this entry knows of the others as relays. */
export class RelayChoice {
  readonly #random: RandomSource;
  /** By service, and entry or distance. */
  readonly #pauses = new Map<string, Pause>();
  readonly #failures = new Map<string, ServiceFailures>();
  /** Entries that served when they were last asked, by service and entry. */
  readonly #serving = new Set<string>();
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
    if (this.#failures.get(service)?.pause.isOver(nowMs) === false) {
      return undefined;
    }
    const available = candidates.filter(
      ({name}) => !tried.has(name) && !this.#isPaused(service, name, nowMs),
    );
    const farther = available.filter(
      ({distance}) => DISTANCES.indexOf(distance) >= tried.size,
    );
    const eligible = farther.length > 0 ? farther : available;
    const drawn = this.#draw(service, eligible, nowMs);
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
    this.#failures.delete(service);
    this.#serving.add(toKey(service, name));
  }

  /** Called when an entry doesn't reach the service either, or doesn't answer. */
  onFailed(
    service: string,
    {name, distance}: RelayCandidate,
    nowMs: number,
  ): void {
    this.#pause(toKey(service, name), nowMs);
    this.#pause(toKey(service, distance), nowMs);
    this.#serving.delete(toKey(service, name));
    const failures = this.#failures.get(service) ?? {
      pause: new Pause(),
      inRow: 0,
    };
    failures.inRow += 1;
    if (failures.inRow >= FAILURES_UNTIL_PAUSE) {
      failures.pause.begin(nowMs);
      failures.inRow = 0;
    }
    this.#failures.set(service, failures);
  }

  #pause(key: string, nowMs: number): void {
    const pause = this.#pauses.get(key) ?? new Pause();
    pause.begin(nowMs);
    this.#pauses.set(key, pause);
  }

  /** Forgets entries that are no longer announced. */
  retain(names: ReadonlySet<string>): void {
    for (const key of this.#pauses.keys()) {
      if (!names.has(nameIn(key)) && !DISTANCE_NAMES.has(nameIn(key))) {
        this.#pauses.delete(key);
      }
    }
    for (const key of this.#serving) {
      if (!names.has(nameIn(key))) {
        this.#serving.delete(key);
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
    return pause !== undefined && !pause.isOver(nowMs);
  }

  /**
   * Draws entries of each distance. While some are known to serve, others of a
   * distance where one has just failed are left out: they seldom serve either,
   * and asking each of them would take as many requests as there are entries.
   */
  #draw(
    service: string,
    entries: readonly RelayCandidate[],
    nowMs: number,
  ): readonly RelayCandidate[] {
    const isServing = ({name}: RelayCandidate) =>
      this.#serving.has(toKey(service, name));
    const isAnyServing = entries.some(isServing);
    return DISTANCES.flatMap(distance => {
      const alike = entries.filter(entry => entry.distance === distance);
      const hasFailed = this.#isPaused(service, distance, nowMs);
      const isLimited = isAnyServing && hasFailed;
      return this.#drawSome(isLimited ? alike.filter(isServing) : alike);
    });
  }

  #drawSome(entries: readonly RelayCandidate[]): readonly RelayCandidate[] {
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
