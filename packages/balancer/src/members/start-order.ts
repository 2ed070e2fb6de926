/** Order of the starts of one upstream. */

import type {UpstreamRecord} from './upstream-record.js';

/** How the start that an announcement names relates to a known one; 'unknown' if both are different and neither can be told to be the later one. */
export type StartOrder = 'same' | 'earlier' | 'later' | 'unknown';

/** The part of an announcement that identifies a start. */
export type UpstreamStart = Pick<
  UpstreamRecord,
  'startedAtEpochMs' | 'service' | 'address'
>;

/** Compares the start of an announcement with a known start of the same id. */
export function compareStarts(
  announced: UpstreamStart,
  known: UpstreamStart,
): StartOrder {
  const {startedAtEpochMs: announcedMs} = announced;
  const {startedAtEpochMs: knownMs} = known;
  const isSamePlace =
    announced.service === known.service && announced.address === known.address;
  if (
    announcedMs === undefined ||
    knownMs === undefined ||
    announcedMs === knownMs
  ) {
    return isSamePlace ? 'same' : 'unknown';
  }
  return announcedMs > knownMs ? 'later' : 'earlier';
}
