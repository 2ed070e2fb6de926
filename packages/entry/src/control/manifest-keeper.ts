/** Keeps the manifest in force. Its revision only rises, whoever offers one. */

import {
  parseManifest,
  Snapshot,
  type ManifestRecord,
} from '@wasabidyke/manifest';
import type {Counter, MetricRegistry, Reporter} from '@wasabidyke/shared';

/** Decides whether an offered revision may replace the one in force. */
export abstract class RevisionGuard {
  /** @param present The revision in force; 0 for none. */
  abstract accepts(present: number, offered: number): boolean;
}

/** Accepts only a higher revision. */
export class RisingRevisionGuard extends RevisionGuard {
  override accepts(present: number, offered: number): boolean {
    return offered > present;
  }
}

/** What became of an offered manifest. */
export type OfferResult = 'applied' | 'not-newer' | 'invalid';

/** Told of each manifest that comes into force. */
export type SnapshotListener = (snapshot: Snapshot) => void;

/** What the keeper needs. */
export interface ManifestKeeperOptions {
  readonly guard: RevisionGuard;
  readonly metrics: MetricRegistry;
  readonly reporter: Reporter;
}

/** Keeps the manifest in force. */
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

  /** The record in force. */
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

  /** Puts a manifest in force if it is newer and valid. @param source Who offered it, for the log. */
  offer(record: ManifestRecord, source: string): OfferResult {
    if (!this.#guard.accepts(this.revision, record.revision)) {
      this.#onNotNewer(record);
      return 'not-newer';
    }
    const parsed = parseManifest(`revision ${record.revision}`, record.body);
    if (parsed.isErr()) {
      this.#refused.add();
      this.#reporter.report({
        level: 'error',
        code: 'manifest.invalid',
        subject: `revision ${record.revision}`,
        message: `${source} offered a manifest with ${parsed.error.length} findings; submit a corrected one.`,
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
      message: `In force, from ${source}.`,
    });
    for (const listener of this.#listeners) {
      listener(snapshot);
    }
  }

  #onNotNewer(record: ManifestRecord): void {
    if (record.revision < this.revision) {
      this.#refused.add();
    }
  }
}
