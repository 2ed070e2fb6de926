/** The part of the budget for watching load that this entry may spend. */

import type {NumberedLease} from '@wasabidyke/store';
import type {ManifestKeeper} from './manifest-keeper.js';
import type {MemberDirectory} from './member-directory.js';

/** A part of the budget. */
export interface HeldShare {
  /** Rises with each acquisition: what was saved up under another term is void. */
  readonly term: number;
  /** Of how many equal shares it is one. */
  readonly shares: number;
}

/** Tells whether this entry holds a part of the budget. */
export abstract class BudgetSlot {
  /** The share held for certain at `nowMs` of the monotonic clock; undefined without one. */
  abstract held(nowMs: number): HeldShare | undefined;

  /** Begins to seek a share. */
  abstract start(): void;

  /** A second has passed. */
  abstract onPeriod(): void;

  /** Gives the share back. */
  abstract stop(): Promise<void>;
}

/** Holds one of the numbered slots in the store, as many as the manifest allows entries. */
export class LeasedBudgetSlot extends BudgetSlot {
  readonly #lease: NumberedLease;
  readonly #keeper: ManifestKeeper;
  readonly #directory: MemberDirectory;

  constructor(
    lease: NumberedLease,
    keeper: ManifestKeeper,
    directory: MemberDirectory,
  ) {
    super();
    this.#lease = lease;
    this.#keeper = keeper;
    this.#directory = directory;
  }

  override held(nowMs: number): HeldShare | undefined {
    return this.#lease.held(nowMs);
  }

  override start(): void {
    this.#lease.start();
  }

  override onPeriod(): void {
    const {snapshot, revision} = this.#keeper;
    if (snapshot === undefined) {
      return;
    }
    const members = this.#directory.members();
    const isSettled = members.every(member => member.revision === revision);
    this.#lease.setCount({count: snapshot.manifest.entries.maximum, isSettled});
  }

  override async stop(): Promise<void> {
    await this.#lease.release();
  }
}
