/** Ledgers that stopped entries handed over to this one; they answer resends but admit no new keys. */

import type {Clock} from '@wasabidyke/shared';
import type {HomeKey} from './home-token.js';
import type {Run} from './run-ledger.js';

/** Limit of runs taken over, from all homes together. */
const MAXIMUM_ADOPTED_RUNS = 200_000;

interface AdoptedLedger {
  readonly runs: Map<string, Run>;
  /** Whether all parts have arrived; only then does an absent key mean that it was never run. */
  isComplete: boolean;
  readonly expiresAtMs: number;
}

/** Stores the ledgers of stopped entries by incarnation. */
export class AdoptedLedgers {
  readonly #clock: Clock;
  readonly #ledgers = new Map<string, AdoptedLedger>();
  #size = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Incarnations of the homes whose complete ledgers are here. */
  get completeHomes(): readonly string[] {
    const complete = [...this.#ledgers].filter(
      ([, ledger]) => ledger.isComplete,
    );
    return complete.map(([incarnation]) => incarnation);
  }

  /** The runs taken over from one home. */
  runsOf(incarnation: string): readonly Run[] {
    return [...(this.#ledgers.get(incarnation)?.runs.values() ?? [])];
  }

  /** Milliseconds until the ledger of a home expires; 0 when it is not here. */
  remainingMs(incarnation: string): number {
    const ledger = this.#ledgers.get(incarnation);
    return Math.max(0, (ledger?.expiresAtMs ?? 0) - this.#clock.now());
  }

  /** Takes over a part of a ledger. Returns false, and takes nothing, when the limit would be exceeded. */
  add(incarnation: string, runs: readonly Run[], expiresInMs: number): boolean {
    if (this.#size + runs.length > MAXIMUM_ADOPTED_RUNS) {
      return false;
    }
    const ledger = this.#ledgers.get(incarnation) ?? {
      runs: new Map<string, Run>(),
      isComplete: false,
      expiresAtMs: this.#clock.now() + expiresInMs,
    };
    this.#ledgers.set(incarnation, ledger);
    for (const run of runs) {
      this.#size += ledger.runs.has(run.key) ? 0 : 1;
      ledger.runs.set(run.key, run);
    }
    return true;
  }

  /** Called when the last part of a ledger has arrived, or when the ledger is empty. */
  markComplete(incarnation: string, expiresInMs: number): void {
    this.add(incarnation, [], expiresInMs);
    const ledger = this.#ledgers.get(incarnation);
    if (ledger !== undefined) {
      ledger.isComplete = true;
    }
  }

  /** Finds the run of a key; undefined when its home never ran it, `not-adopted` when its ledger is absent or incomplete. */
  find(key: HomeKey): Run | undefined | 'not-adopted' {
    const ledger = this.#ledgers.get(key.home.incarnation);
    const run = ledger?.runs.get(key.key);
    if (run !== undefined) {
      return run;
    }
    return ledger?.isComplete === true ? undefined : 'not-adopted';
  }

  /** Removes expired ledgers. */
  removeExpired(): void {
    const nowMs = this.#clock.now();
    for (const [incarnation, ledger] of this.#ledgers) {
      if (ledger.expiresAtMs <= nowMs) {
        this.#ledgers.delete(incarnation);
        this.#size -= ledger.runs.size;
      }
    }
  }
}
