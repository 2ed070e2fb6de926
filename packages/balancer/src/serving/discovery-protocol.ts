/** Paths and formats of entry discovery and of the platform's readiness check. */

import type {CallerPlace} from '../members/entry-roster.js';

/** Wire format of entry discovery and of the readiness check. */
export abstract class DiscoveryProtocol {
  /** Path of the list of entries. */
  abstract readonly entriesPath: string;

  /** Path of the platform's readiness check. */
  abstract readonly readinessPath: string;

  /** Reads a caller's region, availability zone and host from the query. */
  abstract readPlace(query: URLSearchParams): CallerPlace;

  /** Formats the list of entries. @param maximumAgeMs How long callers may cache it, in milliseconds. */
  abstract writeEntries(
    addresses: readonly string[],
    maximumAgeMs: number,
  ): string;
}
