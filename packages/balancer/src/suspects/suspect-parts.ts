/** The parts of an entry that know which requests crash upstreams. */

import {CrashGuard, type RandomSource} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import type {EntryClient} from '../feed/entry-client.js';
import type {RecordHistory} from '../feed/record-history.js';
import type {EntryRecord} from '../members/entry-record.js';
import type {UpstreamRegistry} from '../members/upstream-registry.js';
import type {DecisionLog} from '../reporting/decision-log.js';
import type {RecordStore} from '../store/record-store.js';
import {CrashMonitor, QUARANTINE_CRASHES} from './crash-monitor.js';
import {PeerNotifier} from './peer-notifier.js';
import {SuspectAnnouncer} from './suspect-announcer.js';
import {parseSuspect} from './suspect-record.js';
import {ProcessWatch} from './process-watch.js';
import {UpstreamCheck} from './upstream-check.js';

/** Options of `SuspectParts`. */
export interface SuspectPartsOptions {
  /** Name of this entry. */
  readonly entry: string;
  readonly store: RecordStore;
  readonly history: RecordHistory;
  readonly client: EntryClient;
  /** The other entries that take messages. */
  readonly peers: () => readonly EntryRecord[];
  /** Those of them that are up. */
  readonly responsivePeers: () => readonly EntryRecord[];
  readonly registry: () => UpstreamRegistry;
  /** Path of load queries to the upstreams of a service. */
  readonly loadPath: (service: string) => string;
  readonly random: RandomSource;
  readonly clock: Clock;
  readonly log: DecisionLog;
}

/** Guard, announcer and monitor of requests that crash upstreams. */
export class SuspectParts {
  readonly guard: CrashGuard;
  readonly announcer: SuspectAnnouncer;
  readonly monitor: CrashMonitor;
  readonly upstreamCheck: UpstreamCheck;
  readonly processWatch: ProcessWatch;

  constructor(options: SuspectPartsOptions) {
    const {entry, store, history, client, peers, random, clock, log} = options;
    this.guard = new CrashGuard({
      reporter: entry,
      quarantineCrashes: QUARANTINE_CRASHES,
      countsOverlapping: false,
      sameCrashMs: Infinity,
    });
    const {guard} = this;
    this.announcer = new SuspectAnnouncer({
      store,
      readStored: key => {
        const value = history.read(key);
        return value && parseSuspect(key, value);
      },
      random,
      guard,
      notifier: new PeerNotifier({peers, client, log}),
      clock,
      log,
    });
    const {announcer} = this;
    this.monitor = new CrashMonitor({entry, guard, announcer, clock, log});
    this.upstreamCheck = new UpstreamCheck({
      ...options,
      peers: options.responsivePeers,
    });
    const {upstreamCheck, monitor} = this;
    this.processWatch = new ProcessWatch({...options, upstreamCheck, monitor});
  }
}
