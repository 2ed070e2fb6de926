/** What this entry believes: the configuration in force, the upstreams and the entries. */

import type {Clock} from '@wasabidyke/shared';
import {entryRecordSchema} from './members/entry-record.js';
import type {RecordHistory} from './feed/record-history.js';
import type {EntryRoster} from './members/entry-roster.js';
import {UpstreamRoster} from './members/upstream-roster.js';
import type {UpstreamRegistry} from './members/upstream-registry.js';
import type {DecisionLog} from './reporting/decision-log.js';
import type {RoutingConfiguration} from './routing/routing-configuration.js';
import {RoutingTable} from './routing/routing-table.js';
import {ENTRY_PREFIX} from './store/entry-presence.js';
import type {RecordDecoder} from './store/record-decoder.js';
import type {
  RecordChange,
  RecordChanges,
  RecordStoreError,
} from './store/record-store.js';
import type {StoreViewListener} from './store/store-view.js';

/** What beliefs need. */
export interface BeliefsOptions {
  readonly decoder: RecordDecoder;
  readonly entries: EntryRoster;
  readonly registry: UpstreamRegistry;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly onTable: (table: RoutingTable) => void;
  /** Keeps what was read for the entries that follow this one. */
  readonly history: RecordHistory;
}

/** What this entry believes. */
export class Beliefs implements StoreViewListener {
  readonly #options: BeliefsOptions;
  readonly #upstreams: UpstreamRoster;
  #table: RoutingTable | undefined;

  constructor(options: BeliefsOptions) {
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
        registry.remove(record);
        log.record('upstream.leaving', {
          upstream: record.id,
          service: record.service,
          address: record.address,
          reason,
        });
      },
    });
  }

  /** The configuration in force; undefined before the first one. */
  get table(): RoutingTable | undefined {
    return this.#table;
  }

  onRead(read: RecordChanges, isWhole: boolean): void {
    this.#options.history.apply(read, isWhole);
  }

  onChange(change: RecordChange, mayReturn: boolean): void {
    const {key, value} = change;
    if (key.startsWith(ENTRY_PREFIX)) {
      this.#onEntry(key.slice(ENTRY_PREFIX.length), change, mayReturn);
      return;
    }
    const fact = this.#options.decoder.decode(key, value);
    switch (fact.kind) {
      case 'configuration':
        this.#onConfiguration(fact.configuration, fact.problem);
        return;
      case 'upstream':
        this.#onUpstream(fact, mayReturn);
        return;
      case 'other':
        return;
    }
  }

  onWhole(keys: ReadonlySet<string>, mayReturn: boolean): void {
    const nowMs = this.#options.clock.now();
    const ids = new Set<string>();
    const names = new Set<string>();
    for (const key of keys) {
      const fact = this.#options.decoder.decode(key, undefined);
      if (fact.kind === 'upstream') {
        ids.add(fact.id);
      } else if (key.startsWith(ENTRY_PREFIX)) {
        names.add(key.slice(ENTRY_PREFIX.length));
      }
    }
    this.#upstreams.onWhole(ids, nowMs, mayReturn);
    this.#options.entries.onWhole(names, nowMs, mayReturn);
  }

  onLost(error: RecordStoreError): void {
    this.#options.history.wake();
    this.#options.log.record('store.lost', {
      cause: error.message,
      kind: error.kind,
      version: this.#table?.version,
    });
  }

  onRegained(): void {
    this.#options.log.record('store.regained', {version: this.#table?.version});
  }

  /** Drops what vanished and didn't return. */
  onPeriod(nowMs: number): void {
    this.#upstreams.onPeriod(nowMs);
    this.#options.entries.onPeriod(nowMs);
  }

  #onConfiguration(
    configuration: RoutingConfiguration | undefined,
    problem: string | undefined,
  ): void {
    const version = this.#table?.version ?? -1;
    if (configuration === undefined) {
      this.#options.log.record('configuration.unreadable', {
        version,
        cause: problem,
      });
      return;
    }
    if (configuration.version <= version) {
      return;
    }
    this.#table = new RoutingTable(configuration);
    this.#options.log.record('configuration.applied', {
      version: configuration.version,
      formerVersion: version,
      routes: configuration.routes.length,
    });
    this.#options.onTable(this.#table);
  }

  #onUpstream(
    fact: Extract<ReturnType<RecordDecoder['decode']>, {kind: 'upstream'}>,
    mayReturn: boolean,
  ): void {
    if (fact.record !== undefined) {
      this.#upstreams.onRecord(fact.record);
    } else if (fact.isPresent) {
      this.#options.log.record('upstream.unreadable', {
        upstream: fact.id,
        cause: fact.problem,
      });
      this.#upstreams.onUnreadable(fact.id);
    } else {
      this.#upstreams.onVanished(fact.id, this.#options.clock.now(), mayReturn);
    }
  }

  #onEntry(
    name: string,
    {value, revision}: RecordChange,
    mayReturn: boolean,
  ): void {
    const {entries, clock} = this.#options;
    if (value === undefined) {
      entries.onVanished(name, clock.now(), mayReturn);
      return;
    }
    const parsed = entryRecordSchema.safeParse(parseJson(value));
    if (parsed.success && parsed.data.name === name) {
      entries.onRecord(parsed.data, revision);
    } else {
      this.#options.log.record('entry.unreadable', {subject: name});
    }
  }
}

function parseJson(value: Buffer): unknown {
  try {
    return JSON.parse(value.toString('utf8'));
  } catch {
    // What can't be read is told where the record is checked.
    return undefined;
  }
}
