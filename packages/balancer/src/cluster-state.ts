/** State of the deployment as read from the store: the applied configuration, the upstreams and the entries. */

import {isDeepStrictEqual} from 'node:util';
import {parseJson, type Clock} from '@wasabidyke/shared';
import {entryRecordSchema} from './members/entry-record.js';
import type {RecordsOrigin} from './feed/records-origin.js';
import type {RecordHistory} from './feed/record-history.js';
import type {EntryRoster} from './members/entry-roster.js';
import type {Placement} from './members/placement.js';
import type {DepartedStart, UpstreamRecord} from './members/upstream-record.js';
import {UpstreamRoster} from './members/upstream-roster.js';
import type {UpstreamRegistry} from './members/upstream-registry.js';
import type {DecisionLog} from './reporting/decision-log.js';
import {toOriginFields} from './reporting/own-answers.js';
import {AccountDirectory} from './routing/account-directory.js';
import type {RoutingConfiguration} from './routing/routing-configuration.js';
import {RoutingTable} from './routing/routing-table.js';
import {
  findUnknownRegions,
  type UnknownRegions,
} from './routing/unknown-regions.js';
import {ENTRY_KEY_PREFIX} from './store/entry-announcer.js';
import type {DecodedRecord, RecordDecoder} from './store/record-decoder.js';
import type {
  RecordChange,
  RecordChanges,
  RecordStoreError,
} from './store/record-store.js';
import {UNNAMED_ERA} from './store/store-eras.js';
import type {CrashMonitor} from './suspects/crash-monitor.js';
import {SUSPECT_KEY_PREFIX} from './suspects/suspect-record.js';
import type {EraChange, StoreWatcherListener} from './store/store-watcher.js';

/** Options of `ClusterState`. */
export interface ClusterStateOptions {
  readonly decoder: RecordDecoder;
  readonly entries: EntryRoster;
  readonly registry: UpstreamRegistry;
  /** Takes the evacuations, and knows the regions. */
  readonly placement: Placement;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Regions that the settings name. */
  readonly regions: () => ReadonlySet<string>;
  /** Called when a new configuration was applied. */
  readonly onTable: (table: RoutingTable) => void;
  /** Takes the records of requests that may crash upstreams. */
  readonly crashMonitor: CrashMonitor;
  /** Called when the announcement of an upstream names a later start, and the earlier one has not said that it leaves. */
  readonly onReplaced: (record: UpstreamRecord) => void;
  /** Where the records come from. */
  readonly origin: () => RecordsOrigin;
  /** Records what was read, for the entries that follow this one. */
  readonly history: RecordHistory;
}

/** Applies store records to the routing table, the upstreams and the entries. */
export class ClusterState implements StoreWatcherListener {
  readonly #options: ClusterStateOptions;
  readonly #upstreams: UpstreamRoster;
  #table: RoutingTable | undefined;
  /** Whether the newest configuration that was read is in force, rather than one before it. */
  #isTableNewest = true;
  /** Unknown regions of the applied configuration. */
  #unknownRegions: UnknownRegions | undefined;
  /** Position of the read that is applied. */
  #read = {era: UNNAMED_ERA, revision: 0};
  /** The change of era whose complete read is due. */
  #eraChange: EraChange | undefined;

  constructor(options: ClusterStateOptions) {
    this.#options = options;
    const {registry, log} = options;
    this.#upstreams = new UpstreamRoster({
      onJoined: record => {
        registry.add(record);
        log.record('upstream.joined', {
          upstream: record.id,
          service: record.service,
          address: record.address,
          zone: record.zone,
          warmUpLeftMs: record.warmUpLeftMs,
        });
      },
      onChanged: record => registry.update(record),
      onLeaving: (record, reason) => {
        if (reason === 'replaced' && !record.isDraining) {
          options.onReplaced(record);
        }
        registry.remove(record);
        log.record('upstream.leaving', {
          upstream: record.id,
          service: record.service,
          address: record.address,
          reason,
        });
      },
      onOutdated: ({id, service, address, sequence, isDraining}, age) =>
        log.record('upstream.outdated', {
          upstream: id,
          service,
          address,
          sequence,
          isDraining,
          reason: age,
        }),
    });
  }

  /** The applied configuration; undefined before the first one. */
  get table(): RoutingTable | undefined {
    return this.#table;
  }

  /** Whether no newer configuration was read that couldn't be applied. */
  get isTableNewest(): boolean {
    return this.#isTableNewest;
  }

  onRead(read: RecordChanges, isComplete: boolean): void {
    const {history, entries} = this.#options;
    history.apply(read, isComplete);
    const {era, revision} = read;
    this.#read = {era, revision};
    entries.onEra(era);
  }

  /** Applies a record. One that fails names no upstream, and hides none of those behind it. */
  onChange(change: RecordChange, mayReappear: boolean): void {
    try {
      this.#applyChange(change, mayReappear);
    } catch (error) {
      const {key, revision} = change;
      this.#options.log.record('record.failed', {
        subject: key,
        revision,
        cause: String(error),
      });
    }
  }

  #applyChange(change: RecordChange, mayReappear: boolean): void {
    const {key, value} = change;
    if (key.startsWith(ENTRY_KEY_PREFIX)) {
      this.#onEntry(key.slice(ENTRY_KEY_PREFIX.length), change, mayReappear);
      return;
    }
    if (key.startsWith(SUSPECT_KEY_PREFIX)) {
      this.#options.crashMonitor.onStoreChange(key, value);
      return;
    }
    const decoded = this.#options.decoder.decode(key, value);
    switch (decoded.kind) {
      case 'configuration':
        this.#onConfiguration(decoded, change.revision);
        return;
      case 'upstream':
        this.#onUpstream(decoded, mayReappear);
        return;
      case 'evacuation':
        this.#options.placement.evacuations.apply(
          decoded.zone,
          decoded.isInForce,
        );
        return;
      case 'other':
        return;
    }
  }

  onCompleteRead(keys: ReadonlySet<string>, mayReappear: boolean): void {
    const nowMs = this.#options.clock.now();
    const ids = new Set<string>();
    const names = new Set<string>();
    const evacuated = new Set<string>();
    for (const key of keys) {
      const decoded = this.#options.decoder.decode(key, undefined);
      if (decoded.kind === 'upstream') {
        ids.add(decoded.id);
      } else if (decoded.kind === 'evacuation') {
        evacuated.add(decoded.zone);
      } else if (key.startsWith(ENTRY_KEY_PREFIX)) {
        names.add(key.slice(ENTRY_KEY_PREFIX.length));
      }
    }
    this.#upstreams.onCompleteRead(ids, nowMs, mayReappear);
    this.#options.entries.onCompleteRead(names, nowMs, mayReappear);
    this.#options.placement.evacuations.onCompleteRead(evacuated);
    this.#completeEra(keys);
  }

  onEra(change: EraChange): void {
    this.#eraChange = change;
  }

  /** Has written again what the store has lost, after the first read of a new era. */
  #completeEra(keys: ReadonlySet<string>): void {
    const change = this.#eraChange;
    if (change === undefined || change.era !== this.#read.era) {
      return;
    }
    this.#eraChange = undefined;
    const {log, crashMonitor, entries} = this.#options;
    const suspects = crashMonitor.restore(keys, entries.listRestorers());
    log.record('store.era', {
      ...change,
      ...this.#read,
      records: keys.size,
      // The announcement is written anew in each era.
      writtenAgain: suspects + 1,
      version: this.#table?.version,
    });
  }

  onLost(error: RecordStoreError): void {
    this.#options.history.wakeWaiting();
    this.#options.log.record('store.lost', {
      cause: error.message,
      kind: error.kind,
      version: this.#table?.version,
    });
  }

  onRegained(): void {
    this.#options.log.record('store.regained', {version: this.#table?.version});
  }

  /** Called when an upstream has said in an answer that it is leaving. */
  onUpstreamLeaving(record: UpstreamRecord): void {
    this.#upstreams.onLeavingAnswer(record, this.#options.clock.now());
  }

  /** Called with the upstreams that have left, as another entry tells of them. */
  onDepartures(departures: readonly DepartedStart[]): void {
    this.#upstreams.onDepartures(departures, this.#options.clock.now());
  }

  /** The upstreams that have left, for other entries. */
  get departures(): readonly DepartedStart[] {
    return this.#upstreams.listDepartures(this.#options.clock.now());
  }

  /** Removes upstreams and entries that vanished and did not reappear in time. */
  onTick(nowMs: number): void {
    this.#upstreams.onTick(nowMs);
    this.#options.entries.onTick(nowMs);
  }

  #onConfiguration(
    {configuration, problem}: Extract<DecodedRecord, {kind: 'configuration'}>,
    revision: number,
  ): void {
    const currentVersion = this.#table?.version ?? -1;
    if (configuration === undefined) {
      this.#isTableNewest = false;
      this.#options.log.record('configuration.unreadable', {
        version: currentVersion,
        revision,
        cause: problem,
      });
      return;
    }
    if (configuration.version <= currentVersion) {
      return;
    }
    const {log, clock, origin} = this.#options;
    const accounts = AccountDirectory.create(
      configuration.accounts ?? [],
      this.#table?.accounts,
    );
    this.#isTableNewest = accounts.isOk();
    if (accounts.isErr()) {
      log.record('configuration.refused', {
        version: currentVersion,
        refusedVersion: configuration.version,
        revision,
        cause: accounts.error,
      });
      return;
    }
    this.#table = new RoutingTable(configuration, accounts.value, clock.now());
    log.record('configuration.applied', {
      version: configuration.version,
      formerVersion: currentVersion,
      revision,
      routes: configuration.routes.length,
      accounts: configuration.accounts?.length,
      ...toOriginFields(origin()),
    });
    this.#logUnknownRegions(configuration);
    this.#options.onTable(this.#table);
  }

  /** Versions may arrive three times a second, so only a change of what is unknown is logged. */
  #logUnknownRegions(configuration: RoutingConfiguration): void {
    const {log, regions} = this.#options;
    const unknown = findUnknownRegions(configuration, regions());
    const isLogged = isDeepStrictEqual(unknown, this.#unknownRegions);
    this.#unknownRegions = unknown;
    if (unknown !== undefined && !isLogged) {
      const {version} = configuration;
      log.record('configuration.unknown-regions', {version, ...unknown});
    }
  }

  #onUpstream(
    decoded: Extract<DecodedRecord, {kind: 'upstream'}>,
    mayReappear: boolean,
  ): void {
    const nowMs = this.#options.clock.now();
    if (decoded.record !== undefined) {
      this.#applyUpstream(decoded.record, nowMs);
    } else if (decoded.isPresent) {
      this.#options.log.record('upstream.unreadable', {
        upstream: decoded.id,
        cause: decoded.problem,
      });
      this.#upstreams.onUnreadable(decoded.id, nowMs);
    } else {
      this.#upstreams.onVanished(decoded.id, nowMs, mayReappear);
    }
  }

  #applyUpstream(record: UpstreamRecord, nowMs: number): void {
    try {
      this.#upstreams.onRecord(record, nowMs);
    } catch (error) {
      this.#upstreams.onUnreadable(record.id, nowMs);
      throw error;
    }
  }

  #onEntry(
    name: string,
    {value, revision}: RecordChange,
    mayReappear: boolean,
  ): void {
    const {entries, clock} = this.#options;
    if (value === undefined) {
      entries.onVanished(name, clock.now(), mayReappear);
      return;
    }
    const parsed = entryRecordSchema.safeParse(
      parseJson(value.toString('utf8')),
    );
    if (parsed.success && parsed.data.name === name) {
      entries.onRecord(parsed.data, {era: this.#read.era, revision});
    } else {
      this.#options.log.record('entry.unreadable', {
        subject: name,
        cause: parsed.success
          ? `the record is that of ${parsed.data.name}`
          : parsed.error.message,
      });
    }
  }
}
