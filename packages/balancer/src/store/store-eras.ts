/**
 * Knows the era of the store. A store that comes back from an older copy of
 * itself begins a new era, in which it gives out revisions and leases again:
 * those of different eras can't be compared.
 */

/** Era of a store that names none. */
export const UNNAMED_ERA = -1;

/** A revision of the store, in its era. */
export interface StorePosition {
  readonly era: number;
  readonly revision: number;
}

/** Whether a position is before another one; a position of an earlier era is before all of a later one. */
export function isBefore(left: StorePosition, right: StorePosition): boolean {
  return left.era === right.era
    ? left.revision < right.revision
    : left.era < right.era;
}

/** What an answer says of the era of the store. */
export type NamedEra = number | 'none' | 'unreadable';

/** Called when the store has begun another era. */
export type EraListener = (era: number, formerEra: number) => void;

/** An answer that names no era, an unreadable one, or an earlier one than answers before it. */
export interface OddEra {
  readonly named: NamedEra;
  readonly era: number;
}

/** The era of one store, for all who use it. */
export class StoreEras {
  readonly #listeners = new Set<EraListener>();
  readonly #oddKinds = new Set<string>();
  #current = UNNAMED_ERA;
  #isDoubtful = false;
  /** Called with the first odd answer of each kind. */
  onOdd: (odd: OddEra) => void = () => {};

  /** The latest era that was named; `UNNAMED_ERA` before. */
  get current(): number {
    return this.#current;
  }

  /** Whether the store may have begun another era since its last answer. */
  get isDoubtful(): boolean {
    return this.#isDoubtful;
  }

  /** Calls a listener at each new era. */
  onChange(listener: EraListener): void {
    this.#listeners.add(listener);
  }

  /** Called when a connection to the store ended: it may come back from a copy. */
  onConnectionLost(): void {
    this.#isDoubtful = true;
  }

  /**
   * Takes the era that an answer of the store names, and returns the one that
   * the answer belongs to. That is an earlier one for an answer that was on its
   * way when a new era began.
   * @param askedInEra Latest era when the call was sent.
   */
  onAnswer(named: NamedEra, askedInEra: number): number {
    this.#isDoubtful = false;
    if (typeof named !== 'number') {
      this.#noteOdd(named);
      return askedInEra;
    }
    if (named >= this.#current) {
      this.onNamed(named);
      return named;
    }
    if (askedInEra < this.#current) {
      return named;
    }
    // Eras only rise: the store is taken for the same one.
    this.#noteOdd(named);
    return this.#current;
  }

  /** Takes an era that another entry names. */
  onNamed(era: number): void {
    if (era <= this.#current) {
      return;
    }
    const formerEra = this.#current;
    this.#current = era;
    for (const listener of this.#listeners) {
      listener(era, formerEra);
    }
  }

  #noteOdd(named: NamedEra): void {
    const isExpected = named === 'none' && this.#current === UNNAMED_ERA;
    const kind = typeof named === 'number' ? 'earlier' : named;
    if (!isExpected && !this.#oddKinds.has(kind)) {
      this.#oddKinds.add(kind);
      this.onOdd({named, era: this.#current});
    }
  }
}
