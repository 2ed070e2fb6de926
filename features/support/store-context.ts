/** The store that the steps of a scenario share. */

import {EtcdStore, type EtcdStoreOptions, type Store} from '@wasabidyke/store';
import {
  MetricRegistry,
  Reporter,
  SystemClock,
  TimeLine,
  type Report,
} from '@wasabidyke/shared';
import type {StandInProcess} from './stand-in-process.js';

const CALL_TIMEOUT_MS = 1_000;

/** Before every key of the tests. */
export const KEY_PREFIX = '/test/';

/** What the steps share. */
export interface StoreContext {
  storeProcess?: StandInProcess;
  stores?: Store[];
  store: Store;
}

/** Makes `store` the one that steps use, and has it closed in the end. */
export function useStore(context: StoreContext, store: Store): void {
  context.store = store;
  context.stores = [...(context.stores ?? []), store];
}

/** A client of the store stand-in. */
export function createClient(
  context: StoreContext,
  options: Partial<EtcdStoreOptions> = {},
): EtcdStore {
  const endpoints = options.endpoints ?? [context.storeProcess?.origin ?? ''];
  return new EtcdStore({
    prefix: KEY_PREFIX,
    callTimeoutMs: CALL_TIMEOUT_MS,
    callsPerSecond: 10_000,
    metrics: new MetricRegistry(),
    clock: new SystemClock(),
    ...options,
    endpoints,
  });
}

/** Keeps reports in place of writing them. */
export class RecordingReporter extends Reporter {
  readonly reports: Report[] = [];

  constructor() {
    super(new TimeLine('test', new SystemClock(), 1), 'json');
  }

  override report(report: Report): void {
    this.reports.push(report);
  }

  /** How often `code` was reported. */
  count(code: string): number {
    return this.reports.filter(report => report.code === code).length;
  }
}
