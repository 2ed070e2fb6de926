/** Holds the manifest in force. Its revision only rises, whatever the source of a manifest. */

import {
  parseManifest,
  Snapshot,
  type ManifestRecord,
} from '@wasabidyke/manifest';
import type {Counter, MetricRegistry, Reporter} from '@wasabidyke/shared';

/** Decides whether an offered revision may replace the one in force. */
export abstract class RevisionGuard {
  /** @param current The revision in force; 0 for none. */
  abstract accepts(current: number, offered: number): boolean;
}

/** Accepts only higher revisions. */
export class MonotonicRevisionGuard extends RevisionGuard {
  override accepts(current: number, offered: number): boolean {
    return offered > current;
  }
}

/** Outcome of an offered manifest. */
export type OfferResult = 'applied' | 'not-newer' | 'invalid';

/** Called with each manifest that comes into force. */
export type SnapshotListener = (snapshot: Snapshot) => void;

/** Options of `ManifestKeeper`. */
export interface ManifestKeeperOptions {
  readonly guard: RevisionGuard;
  readonly metrics: MetricRegistry;
  readonly reporter: Reporter;
}

/** Holds the manifest in force and replaces it by newer, valid ones. */
export class ManifestKeeper {
  readonly #guard: RevisionGuard;
  readonly #reporter: Reporter;
  readonly #refused: Counter;
  readonly #listeners: SnapshotListener[] = [];
  #record: ManifestRecord | undefined;
  #snapshot: Snapshot | undefined;

  constructor(options: ManifestKeeperOptions) {
    this.#guard = options.guard;
    this.#reporter = options.reporter;
    this.#refused = options.metrics.counter(
      'wasabidyke_manifest_refused_total',
      'Offered manifests that were older than the one in force, or invalid.',
    );
    options.metrics.gauge(
      'wasabidyke_manifest_revision',
      'Revision of the manifest in force.',
      () => this.revision,
    );
  }

  /** The record of the manifest in force. */
  get record(): ManifestRecord | undefined {
    return this.#record;
  }

  /** The compiled manifest in force. */
  get snapshot(): Snapshot | undefined {
    return this.#snapshot;
  }

  /** The revision in force; 0 for none. */
  get revision(): number {
    return this.#record?.revision ?? 0;
  }

  /** Calls `listener` with each manifest that comes into force. */
  onSnapshot(listener: SnapshotListener): void {
    this.#listeners.push(listener);
  }

  /** Puts a manifest in force if it is newer and valid. @param source Where it comes from, for the log. */
  offer(record: ManifestRecord, source: string): OfferResult {
    if (!this.#guard.accepts(this.revision, record.revision)) {
      this.#countIfOlder(record);
      return 'not-newer';
    }
    const parsed = parseManifest(`revision ${record.revision}`, record.body);
    if (parsed.isErr()) {
      this.#refused.add();
      this.#reporter.report({
        level: 'error',
        code: 'manifest.invalid',
        subject: `revision ${record.revision}`,
        message: `The manifest from ${source} has ${parsed.error.length} findings and isn't applied; submit a corrected one.`,
      });
      return 'invalid';
    }
    this.#apply(record, new Snapshot(record.revision, parsed.value), source);
    return 'applied';
  }

  #apply(record: ManifestRecord, snapshot: Snapshot, source: string): void {
    this.#record = record;
    this.#snapshot = snapshot;
    this.#reporter.report({
      level: 'info',
      code: 'manifest.applied',
      subject: `revision ${record.revision}`,
      message: `The manifest from ${source} is in force.`,
    });
    for (const listener of this.#listeners) {
      listener(snapshot);
    }
  }

  #countIfOlder(record: ManifestRecord): void {
    if (record.revision < this.revision) {
      this.#refused.add();
    }
  }
}
