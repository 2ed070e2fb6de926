/** Connects the parts of this entry to the peer protocol: applies rows from other entries and publishes rows to them. */

import {parseManifestRecord} from '@wasabidyke/manifest';
import {
  PeerHandler,
  type LedgerRecord,
  type MemberView,
  type PeerTask,
  type Row,
} from '@wasabidyke/peer';
import {
  SUSPECT_LIFETIME_MS,
  type CrashGuard,
  type SuspectRecord,
} from '@wasabidyke/policy';
import {MINUTE_MS, type Clock} from '@wasabidyke/shared';
import {SuspectNotifier} from '../data-path/dispatch-job.js';
import type {AdoptedLedgers} from '../at-most-once/adopted-ledgers.js';
import {IssueCounter} from '../at-most-once/home-token.js';
import {toRun} from '../at-most-once/ledger-transfer.js';
import type {DeparturePublisher, DepartureSource} from './departure-tracker.js';
import type {DepartureTarget} from './departures.js';
import type {ManifestKeeper} from './manifest-keeper.js';
import {
  MemberDirectory,
  type EntryMember,
  type EntryMemberState,
} from './member-directory.js';

/** How long a published departure is passed on to entries that join. */
const DEPARTURE_TIME_TO_LIVE_MS = 5 * MINUTE_MS;

/** Time limit for other entries to acknowledge a suspect before its request continues. */
const SUSPECT_DEADLINE_MS = 150;

/** Time limit for a peer to send its manifest. */
const FETCH_DEADLINE_MS = 2_000;

/** Options of `PeerLink`. */
export interface PeerLinkOptions {
  readonly keeper: ManifestKeeper;
  readonly adopted: AdoptedLedgers;
  readonly crashGuard: CrashGuard;
  readonly incarnation: string;
  readonly clock: Clock;
  /** Called when another entry has published a departure. */
  readonly onDeparture: (target: DepartureTarget) => void;
  /** Called when another process runs under this entry's name. */
  readonly onReplaced: () => void;
}

/** Handles messages from other entries and publishes departures to them. */
export class PeerLink extends PeerHandler implements DeparturePublisher {
  readonly #options: PeerLinkOptions;
  #task: PeerTask | undefined;
  #isFetching = false;

  constructor(options: PeerLinkOptions) {
    super();
    this.#options = options;
  }

  /** Sets the task that carries messages. The task is created after this handler, which it takes as an option. */
  connect(task: PeerTask): void {
    this.#task = task;
  }

  override onManifestRequest(knownRevision: number): string | undefined {
    const {record} = this.#options.keeper;
    const isNewer = record !== undefined && record.revision > knownRevision;
    return isNewer ? JSON.stringify(record) : undefined;
  }

  override onLedgerRecords(
    records: readonly LedgerRecord[],
  ): readonly string[] {
    const accepted = records.filter(record =>
      this.#options.adopted.add(
        record.home,
        [toRun(record)],
        record.lapsesInMs,
      ),
    );
    return accepted.map(({key}) => key);
  }

  override onRow(row: Row): void {
    switch (row.kind) {
      case 'departure':
        return this.#options.onDeparture(row.value.target);
      case 'suspect':
        return this.#onSuspect(row);
      case 'succession':
        return this.#onSuccession(row);
      case 'manifest-notice':
        return this.#onManifestNotice(row.value.revision);
      case 'member':
        return undefined;
    }
  }

  override onReplaced(): void {
    this.#options.onReplaced();
  }

  /** Publishes a departure to the other entries. */
  publishDeparture(target: DepartureTarget, source: DepartureSource): void {
    const origin = source === 'vm-list' ? 'vm-list' : 'upstream';
    this.#task?.publish({
      kind: 'departure',
      value: {target, source: origin},
      expiresAtMs: this.#toExpiresAtMs(DEPARTURE_TIME_TO_LIVE_MS),
    });
  }

  /** Fetches a newer manifest from another entry, if one has it. */
  async fetchManifest(): Promise<void> {
    const {keeper} = this.#options;
    const task = this.#task;
    if (task === undefined || this.#isFetching) {
      return;
    }
    this.#isFetching = true;
    const text = await task.fetchManifest(keeper.revision, FETCH_DEADLINE_MS);
    this.#isFetching = false;
    const record = text === undefined ? undefined : parseManifestRecord(text);
    if (record !== undefined) {
      keeper.offer(record, 'another entry');
    }
  }

  /** Fetches the manifest if another entry is known to have a newer one. */
  fetchNewerManifest(): void {
    const highestRevision = this.#task?.highestRevision() ?? 0;
    if (highestRevision > this.#options.keeper.revision) {
      void this.fetchManifest();
    }
  }

  #onSuspect(row: Row<'suspect'>): void {
    const {crashGuard, clock, incarnation} = this.#options;
    const {fingerprint, upstreams, reporter} = row.value;
    if (reporter !== incarnation) {
      // Rows have no numbers: each adds to what its reporter told before.
      const known = crashGuard.recordOf(fingerprint, reporter);
      const record = {
        fingerprint,
        reporter,
        sequence: known?.sequence ?? 0,
        crashes: upstreams.map(upstream => ({upstream})),
        isAnswered: false,
      };
      crashGuard.onRecord(record, clock.now());
    }
  }

  #onSuccession(row: Row<'succession'>): void {
    const {adopted, incarnation, clock} = this.#options;
    if (row.value.successorIncarnation === incarnation) {
      const remainingMs = row.expiresAtMs - clock.wallTime();
      adopted.markComplete(row.value.home, remainingMs);
    }
  }

  #onManifestNotice(revision: number): void {
    if (revision > this.#options.keeper.revision) {
      void this.fetchManifest();
    }
  }

  #toExpiresAtMs(timeToLiveMs: number): number {
    return Math.floor(this.#options.clock.wallTime() + timeToLiveMs);
  }
}

/** Directory of the entries known to the peer task. */
export class PeerDirectory extends MemberDirectory {
  readonly #task: PeerTask;

  constructor(task: PeerTask) {
    super();
    this.#task = task;
  }

  override members(): readonly EntryMember[] {
    return this.#task
      .members()
      .filter(view => view.isSelf || view.health === 'live')
      .map(toEntryMember);
  }

  override findMember(
    entry: string,
    incarnation: string,
  ): EntryMember | undefined {
    const view = this.#find(candidate => candidate.member.entry === entry);
    const isRunning =
      view?.member.incarnation === incarnation &&
      view.member.state !== 'stopped';
    return isRunning ? toEntryMember(view) : undefined;
  }

  override findSuccessor(incarnation: string): EntryMember | undefined {
    const succession = this.#task.findSuccession(incarnation);
    return succession === undefined
      ? undefined
      : this.findMember(
          succession.successorEntry,
          succession.successorIncarnation,
        );
  }

  #find(predicate: (view: MemberView) => boolean): MemberView | undefined {
    return this.#task.members().find(predicate);
  }
}

/** Uses this entry's heartbeat as the issue number of its home tokens, so that other entries can create tokens for it. */
export class HeartbeatIssueCounter extends IssueCounter {
  readonly #task: PeerTask;

  constructor(task: PeerTask) {
    super();
    this.#task = task;
  }

  override get issue(): number {
    return this.#task.self.heartbeat;
  }
}

/** Publishes suspects to the other entries. */
export class PeerSuspectNotifier extends SuspectNotifier {
  readonly #task: PeerTask;
  readonly #clock: Clock;

  constructor(task: PeerTask, clock: Clock) {
    super();
    this.#task = task;
    this.#clock = clock;
  }

  override async notify(service: string, record: SuspectRecord): Promise<void> {
    const {fingerprint, crashes} = record;
    const reporter = this.#task.self.incarnation;
    const upstreams = crashes.map(({upstream}) => upstream);
    const value = {service, fingerprint, reporter, upstreams};
    const expiresAtMs = Math.floor(
      this.#clock.wallTime() + SUSPECT_LIFETIME_MS,
    );
    await this.#task.publishAndWait(
      {kind: 'suspect', value, expiresAtMs},
      SUSPECT_DEADLINE_MS,
    );
  }
}

function toEntryMember({member}: MemberView): EntryMember {
  const {entry, incarnation, region, zone, callerAddress} = member;
  const state: EntryMemberState = member.state;
  return {
    entry,
    incarnation,
    state,
    region,
    zone,
    callerAddress,
    load: member.load,
    issue: member.heartbeat,
    revision: member.revision,
    ageMs: 0,
  };
}
