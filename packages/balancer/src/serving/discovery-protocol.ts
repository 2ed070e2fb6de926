/** How callers ask for entries, and how the platform asks whether this one is ready. */

import type {CallerPlace} from '../members/entry-roster.js';

/** How callers and the platform ask. */
export abstract class DiscoveryProtocol {
  /** Path at which callers ask for entries. */
  abstract readonly entriesPath: string;

  /** Path at which the platform asks whether this entry is ready. */
  abstract readonly readinessPath: string;

  /** Where a caller says that it is. */
  abstract readPlace(query: URLSearchParams): CallerPlace;

  /** The body that names entries. @param maximumAgeMs How long it may be kept. */
  abstract writeEntries(
    addresses: readonly string[],
    maximumAgeMs: number,
  ): string;
}
