/** What a store stand-in held before: copies that it comes back from, and reads that may be old. */

import {nowMs} from './history.js';

/** An item of the store. */
export interface Item {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly lease: number;
}

/** A lease of the store. */
export interface Lease {
  readonly ttlMs: number;
  endsAtMs: number;
}

/** All that a store holds at one moment. */
export interface StoreCopy {
  readonly items: ReadonlyMap<string, Item>;
  readonly leases: ReadonlyMap<number, Lease>;
  readonly revision: number;
  readonly lastLease: number;
  readonly takenAtMs: number;
}

/** What reads show that may be old. */
export type OldState = Pick<StoreCopy, 'items' | 'revision'>;

interface FormerState extends OldState {
  readonly untilMs: number;
}

/** Longest age of reads that may be old, in milliseconds. */
const LONGEST_AGE_MS = 10_000;

/** States of a store in the last seconds. */
export class StorePast {
  #states: FormerState[] = [];

  /** Keeps the state before a change. */
  remember({items, revision}: OldState): void {
    const untilMs = nowMs();
    this.#states = this.#states.filter(
      state => state.untilMs > untilMs - LONGEST_AGE_MS,
    );
    this.#states.push({items: new Map(items), revision, untilMs});
  }

  /** The state at a moment; undefined if it is still the current one. */
  stateAt(atMs: number): OldState | undefined {
    return this.#states.find(({untilMs}) => untilMs > atMs);
  }

  clear(): void {
    this.#states = [];
  }
}
