/** The share of the load-watch budget that this entry may spend. */

import type {NumberedLease} from '@wasabidyke/store';
import type {ManifestKeeper} from './manifest-keeper.js';
import type {MemberDirectory} from './member-directory.js';

/** One of several equal shares of the budget. */
export interface HeldShare {
  /** Rises with each acquisition. Tokens saved up under another term are void. */
  readonly term: number;
  /** Number of equal shares that the budget is divided into. */
  readonly shares: number;
}

/** Acquires and holds a share of the budget. */
export abstract class BudgetSlot {
  /** The share that this entry certainly holds at `nowMs` on the monotonic clock; undefined if it holds none. */
  abstract heldShare(nowMs: number): HeldShare | undefined;

  /** Starts trying to acquire a share. */
  abstract start(): void;

  /** Called every second. */
  abstract onTick(): void;

  /** Releases the share. */
  abstract stop(): Promise<void>;
}

/** Holds one of the numbered slots in the store. There are as many slots as the manifest allows entries. */
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

  override heldShare(nowMs: number): HeldShare | undefined {
    return this.#lease.held(nowMs);
  }

  override start(): void {
    this.#lease.start();
  }

  override onTick(): void {
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
