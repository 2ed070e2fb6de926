/** Combines the reports on suspect requests: those in flight when upstreams crashed. */

import type {Row} from './rows.js';

/** Suspect request, combined from the rows of all reporters. */
export interface SuspectView {
  readonly service: string;
  readonly fingerprint: string;
  /** Addresses of the upstreams that crashed; those named by several reporters are included once. */
  readonly upstreams: ReadonlySet<string>;
  /** Expiry of the request's last row, in milliseconds since the Unix epoch. */
  readonly expiresAtMs: number;
}

/** Combines the rows of all reporters into one view per request. */
export function collectSuspects(
  rows: ReadonlyArray<Row<'suspect'>>,
): readonly SuspectView[] {
  const viewsByKey = new Map<string, SuspectView>();
  for (const {value, expiresAtMs} of rows) {
    const {service, fingerprint} = value;
    const key = JSON.stringify([service, fingerprint]);
    const previous = viewsByKey.get(key);
    viewsByKey.set(key, {
      service,
      fingerprint,
      upstreams: new Set([...(previous?.upstreams ?? []), ...value.upstreams]),
      expiresAtMs: Math.max(expiresAtMs, previous?.expiresAtMs ?? 0),
    });
  }
  return [...viewsByKey.values()];
}
