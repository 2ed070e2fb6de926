/** Ledgers that stopped entries handed over to this one: look-ups alone. */

import type {Clock} from '@wasabidyke/shared';
import type {HomeKey} from './home-token.js';
import type {Run} from './run-ledger.js';

/** Runs taken over at most, from all homes together. */
const MAXIMUM_ADOPTED = 200_000;

interface AdoptedHome {
  readonly runs: Map<string, Run>;
  /** Until all parts have arrived nothing can be said of an absent key. */
  isWhole: boolean;
  readonly lapsesAtMs: number;
}

/** Ledgers of stopped homes. */
export class AdoptedLedgers {
  readonly #clock: Clock;
  readonly #homes = new Map<string, AdoptedHome>();
  #size = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Incarnations of the homes whose whole ledgers are here. */
  get homes(): readonly string[] {
    const whole = [...this.#homes].filter(([, home]) => home.isWhole);
    return whole.map(([incarnation]) => incarnation);
  }

  /** Every run taken over, by home. */
  runsOf(incarnation: string): readonly Run[] {
    return [...(this.#homes.get(incarnation)?.runs.values() ?? [])];
  }

  /** Milliseconds until the ledger of a home lapses. */
  leftMs(incarnation: string): number {
    const home = this.#homes.get(incarnation);
    return Math.max(0, (home?.lapsesAtMs ?? 0) - this.#clock.now());
  }

  /** Takes over a part of a ledger. Returns false when there is no room; nothing is taken then. */
  add(incarnation: string, runs: readonly Run[], lapsesInMs: number): boolean {
    if (this.#size + runs.length > MAXIMUM_ADOPTED) {
      return false;
    }
    const home = this.#homes.get(incarnation) ?? {
      runs: new Map<string, Run>(),
      isWhole: false,
      lapsesAtMs: this.#clock.now() + lapsesInMs,
    };
    this.#homes.set(incarnation, home);
    for (const run of runs) {
      this.#size += home.runs.has(run.key) ? 0 : 1;
      home.runs.set(run.key, run);
    }
    return true;
  }

  /** The last part has arrived, or there was none. */
  complete(incarnation: string, lapsesInMs: number): void {
    this.add(incarnation, [], lapsesInMs);
    const home = this.#homes.get(incarnation);
    if (home !== undefined) {
      home.isWhole = true;
    }
  }

  /** What is known of a key: its run, undefined when its home never ran it, or that its home isn't here. */
  find(key: HomeKey): Run | undefined | 'not-adopted' {
    const home = this.#homes.get(key.home.incarnation);
    const run = home?.runs.get(key.key);
    if (run !== undefined) {
      return run;
    }
    return home?.isWhole === true ? undefined : 'not-adopted';
  }

  /** Forgets what has lapsed. */
  sweep(): void {
    const nowMs = this.#clock.now();
    for (const [incarnation, home] of this.#homes) {
      if (home.lapsesAtMs <= nowMs) {
        this.#homes.delete(incarnation);
        this.#size -= home.runs.size;
      }
    }
  }
}
