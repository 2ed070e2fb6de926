/** Suspect requests as all reporters together saw them. */

import type {Row} from './rows.js';

/** One suspect request. */
export interface SuspectView {
  readonly service: string;
  readonly fingerprint: string;
  /** Crashes that all reporters saw, each counted once. */
  readonly crashes: number;
  /** Whether any reporter quarantined it. */
  readonly isQuarantined: boolean;
  /** When the last of its rows ends, in milliseconds since the Unix epoch. */
  readonly expiresAtMs: number;
}

/** Adds up the rows of all reporters. */
export function collectSuspects(
  rows: ReadonlyArray<Row<'suspect'>>,
): readonly SuspectView[] {
  const views = new Map<string, SuspectView>();
  for (const {value, expiresAtMs} of rows) {
    const {service, fingerprint} = value;
    const key = JSON.stringify([service, fingerprint]);
    const before = views.get(key);
    views.set(key, {
      service,
      fingerprint,
      crashes: (before?.crashes ?? 0) + value.crashes,
      isQuarantined: value.isQuarantined || (before?.isQuarantined ?? false),
      expiresAtMs: Math.max(expiresAtMs, before?.expiresAtMs ?? 0),
    });
  }
  return [...views.values()];
}
