/** What an entry does together with other entries; nothing, when it runs alone. */

import type {Snapshot} from '@wasabidyke/manifest';
import type {PeerTask} from '@wasabidyke/peer';
import {MINUTE_MS} from '@wasabidyke/shared';
import type {LedgerHandOver} from '../once/ledger-hand-over.js';
import type {DepartureTracker} from './departure-tracker.js';
import type {EntryMemberState} from './member-directory.js';
import type {ManifestKeeper} from './manifest-keeper.js';
import type {PeerLink} from './peer-link.js';
import type {VmWatch} from './vm-watch.js';

/** What an entry does together with others. */
export abstract class EntryGroup {
  /** Joins the others. */
  abstract start(): Promise<void>;

  /** Tells the others of a change of this entry's state. */
  abstract setState(state: EntryMemberState): void;

  /** Tells the others which manifest is in force here. */
  abstract onSnapshot(snapshot: Snapshot): void;

  /** A period has passed. @param load Requests in flight. */
  abstract onPeriod(load: number): void;

  /** Gives what must outlive this process to another entry. */
  abstract handOver(): Promise<void>;

  /** Leaves the others. */
  abstract stop(): Promise<void>;
}

/** An entry that runs alone. */
export class LoneGroup extends EntryGroup {
  override async start(): Promise<void> {}
  override setState(): void {}
  override onSnapshot(): void {}
  override onPeriod(): void {}
  override async handOver(): Promise<void> {}
  override async stop(): Promise<void> {}
}

/** What a group of entries needs. */
export interface PeerGroupOptions {
  readonly task: PeerTask;
  readonly link: PeerLink;
  readonly vmWatch: VmWatch;
  readonly keeper: ManifestKeeper;
  readonly tracker: DepartureTracker;
  readonly ledgerHandOver: LedgerHandOver;
}

/** How often departures are told again, in milliseconds. */
const RETELL_PERIOD_MS = MINUTE_MS;

/** An entry among others. */
export class PeerGroup extends EntryGroup {
  readonly #options: PeerGroupOptions;
  #retellTimer: NodeJS.Timeout | undefined;

  constructor(options: PeerGroupOptions) {
    super();
    this.#options = options;
    options.link.connect(options.task);
  }

  override async start(): Promise<void> {
    const {vmWatch, task, link, tracker} = this.#options;
    await vmWatch.start();
    await task.start();
    void link.fetchManifest();
    this.#retellTimer = setInterval(() => {
      if (task.isGateway()) {
        tracker.publishAll();
      }
    }, RETELL_PERIOD_MS);
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

  override onPeriod(load: number): void {
    this.#options.task.setLoad(load);
    this.#options.link.catchUp();
  }

  override async handOver(): Promise<void> {
    await this.#options.ledgerHandOver.run();
  }

  override async stop(): Promise<void> {
    clearInterval(this.#retellTimer);
    await this.#options.vmWatch.stop();
    await this.#options.task.stop();
  }
}
