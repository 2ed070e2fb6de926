/** Suspect requests as all reporters together saw them. */

import type {Row} from './rows.js';

/** One suspect request. */
export interface SuspectView {
  readonly service: string;
  readonly fingerprint: string;
  /** Addresses of the upstreams that crashed; one that several reporters saw stands once. */
  readonly upstreams: ReadonlySet<string>;
  /** When the last of its rows ends, in milliseconds since the Unix epoch. */
  readonly expiresAtMs: number;
}

/** Joins the rows of all reporters. */
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
      upstreams: new Set([...(before?.upstreams ?? []), ...value.upstreams]),
      expiresAtMs: Math.max(expiresAtMs, before?.expiresAtMs ?? 0),
    });
  }
  return [...views.values()];
}
