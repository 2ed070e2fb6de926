/** Cooperation of an entry with other entries. A standalone entry has none. */

import type {Snapshot} from '@wasabidyke/manifest';
import type {PeerTask} from '@wasabidyke/peer';
import {MINUTE_MS} from '@wasabidyke/shared';
import type {LedgerHandOver} from '../at-most-once/ledger-hand-over.js';
import type {DepartureTracker} from './departure-tracker.js';
import type {EntryMemberState} from './member-directory.js';
import type {ManifestKeeper} from './manifest-keeper.js';
import type {PeerLink} from './peer-link.js';
import type {VmListPoller} from './vm-list-poller.js';

/** This entry's membership in the group of entries. */
export abstract class EntryGroup {
  /** Joins the group. */
  abstract start(): Promise<void>;

  /** Publishes a change of this entry's state. */
  abstract setState(state: EntryMemberState): void;

  /** Publishes which manifest is in force in this entry. */
  abstract onSnapshot(snapshot: Snapshot): void;

  /** Called every second. @param load Number of requests in flight. */
  abstract onTick(load: number): void;

  /** Hands the at-most-once ledgers over to another entry, as they must outlive this process. */
  abstract handOver(): Promise<void>;

  /** Leaves the group. */
  abstract stop(): Promise<void>;
}

/** Group of an entry without peers: does nothing. */
export class StandaloneGroup extends EntryGroup {
  override async start(): Promise<void> {}
  override setState(): void {}
  override onSnapshot(): void {}
  override onTick(): void {}
  override async handOver(): Promise<void> {}
  override async stop(): Promise<void> {}
}

/** Options of `PeerGroup`. */
export interface PeerGroupOptions {
  readonly task: PeerTask;
  readonly link: PeerLink;
  readonly vmListPoller: VmListPoller;
  readonly keeper: ManifestKeeper;
  readonly tracker: DepartureTracker;
  readonly ledgerHandOver: LedgerHandOver;
}

/** Time between two publications of all known departures, in milliseconds. */
const REPUBLISH_INTERVAL_MS = MINUTE_MS;

/** Group of an entry that has peers. */
export class PeerGroup extends EntryGroup {
  readonly #options: PeerGroupOptions;
  #republishTimer: NodeJS.Timeout | undefined;

  constructor(options: PeerGroupOptions) {
    super();
    this.#options = options;
    options.link.connect(options.task);
  }

  override async start(): Promise<void> {
    const {vmListPoller, task, link, tracker} = this.#options;
    await vmListPoller.start();
    await task.start();
    void link.fetchManifest();
    this.#republishTimer = setInterval(() => {
      if (task.isGateway()) {
        tracker.republishAll();
      }
    }, REPUBLISH_INTERVAL_MS);
  }

  override setState(state: EntryMemberState): void {
    this.#options.task.setState(state);
  }

  override onSnapshot(snapshot: Snapshot): void {
    const {task, keeper} = this.#options;
    const digest = keeper.record?.digest;
    if (digest !== undefined) {
      task.setRevision(snapshot.revision, digest);
    }
  }

  override onTick(load: number): void {
    this.#options.task.setLoad(load);
    this.#options.link.fetchNewerManifest();
  }

  override async handOver(): Promise<void> {
    await this.#options.ledgerHandOver.run();
  }

  override async stop(): Promise<void> {
    clearInterval(this.#republishTimer);
    await this.#options.vmListPoller.stop();
    await this.#options.task.stop();
  }
}
