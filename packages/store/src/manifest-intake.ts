/** Takes in what the store shows of the manifest; only newer records pass. */

import {parseManifestRecord, type ManifestRecord} from '@wasabidyke/manifest';
import type {
  Counter,
  MetricRegistry,
  Report,
  Reporter,
} from '@wasabidyke/shared';
import {toNewer} from './manifest-submission.js';
import type {StoreValue} from './store.js';

/** Told of what the store shows. */
export interface ManifestListener {
  /** A record that is newer than every one before. */
  onRecord(record: ManifestRecord): void;
  /** The store shows an older record, or none, although a newer one is known. Told once until the store shows the newest again. */
  onOlder?(newest: ManifestRecord): void;
}

/** What the intake needs. */
export interface ManifestIntakeOptions {
  readonly listener: ManifestListener;
  readonly newestKnown?: () => ManifestRecord | undefined;
  readonly metrics: MetricRegistry;
  readonly reporter: Reporter;
}

/** What is wrong with a value that the store shows. */
type Complaint = 'unreadable' | 'older' | 'missing' | 'conflicting';

/** Takes in values of the manifest's key. */
export class ManifestIntake {
  readonly #options: ManifestIntakeOptions;
  readonly #refused: Counter;
  #newest: ManifestRecord | undefined;
  #complaint: Complaint | undefined;
  #version = 0;

  constructor(options: ManifestIntakeOptions) {
    this.#options = options;
    this.#refused = options.metrics.counter(
      'wasabidyke_store_manifest_refused_total',
      'Values of the manifest that the store showed and that were refused.',
    );
  }

  /** Takes a change that a watch told; one that a reading has overtaken is passed over. */
  takeChange(value: StoreValue | undefined): void {
    if (value === undefined || value.version > this.#version) {
      this.takeReading(value);
    }
  }

  /** Takes a value that was read; undefined where the store has none. */
  takeReading(value: StoreValue | undefined): void {
    this.#version = Math.max(this.#version, value?.version ?? 0);
    const newest = toNewer(this.#newest, this.#options.newestKnown?.());
    if (value === undefined) {
      if (newest !== undefined) {
        this.#refuse('missing', newest);
      }
      return;
    }
    const record = parseManifestRecord(value.value);
    if (record === undefined) {
      this.#refuse('unreadable', undefined);
      return;
    }
    this.#takeRecord(record, newest);
  }

  #takeRecord(
    record: ManifestRecord,
    newest: ManifestRecord | undefined,
  ): void {
    const present = newest?.revision ?? 0;
    if (newest !== undefined && record.revision < present) {
      this.#refuse('older', newest);
      return;
    }
    if (record.revision === present && record.digest !== newest?.digest) {
      this.#refuse('conflicting', undefined);
      return;
    }
    this.#complaint = undefined;
    if (record.revision > present) {
      this.#newest = record;
      this.#options.listener.onRecord(record);
    }
  }

  #refuse(complaint: Complaint, newest: ManifestRecord | undefined): void {
    this.#refused.add();
    if (this.#complaint === complaint) {
      return;
    }
    this.#complaint = complaint;
    this.#options.reporter.report({
      level: 'error',
      subject: 'manifest',
      ...REPORTS[complaint],
    });
    if (newest !== undefined) {
      this.#options.listener.onOlder?.(newest);
    }
  }
}

const REPORTS: Readonly<Record<Complaint, Pick<Report, 'code' | 'message'>>> = {
  unreadable: {
    code: 'store.manifest-unreadable',
    message:
      'The store holds something that is no record of this version; check what wrote it. The manifest in force stays.',
  },
  older: {
    code: 'store.manifest-older',
    message:
      'The store shows an older revision; check whether it was restored from a copy. The manifest in force stays.',
  },
  missing: {
    code: 'store.manifest-missing',
    message:
      'The store holds no manifest; check whether it lost its data. The manifest in force stays.',
  },
  conflicting: {
    code: 'store.manifest-conflicting',
    message:
      'The store shows this revision with another manifest; submit a new one. The manifest in force stays.',
  },
};
