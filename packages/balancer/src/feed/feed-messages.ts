/** Messages between a feeder and its followers. */

import {durationMsSchema} from '@wasabidyke/shared';
import * as z from 'zod/mini';
import {
  departedStartSchema,
  type DepartedStart,
} from '../members/upstream-record.js';
import type {RecordChanges} from '../store/record-store.js';
import {UNNAMED_ERA} from '../store/store-eras.js';

/** Maximum age of the records that a feeder serves, in milliseconds. Source: together with the pause of the entry that reads the store, and a direct read by the follower, it stays within the shortest bound on draining, 2.5 seconds. */
export const MAXIMUM_FEED_AGE_MS = 1_600;

/** Query with which a follower asks for departures, once for each feeder. */
export const DEPARTURES_QUERY = 'departures';

/** Query with which a follower names the era of its position. Builds up to d49f6ce name none. */
export const ERA_QUERY = 'era';

/** Path at which a feeder serves records. */
export const FEED_PATH = '/v1/records';

/** Maximum number of departures in one response: the bytes between regions are billed. */
const MAXIMUM_DEPARTURES = 256;

/** Schema of a response with all records or with changes. */
export const feedSchema = z.object({
  revision: z.int(),
  /** Era of the store that the revisions belong to. Builds up to d49f6ce name none. */
  era: z._default(z.int().check(z.minimum(UNNAMED_ERA)), UNNAMED_ERA),
  /** Time since the store itself last confirmed that no record is missing, including delays at the entries in between, in milliseconds. Builds up to f514c4b name none; what they feed is not fed on. */
  ageMs: z.optional(durationMsSchema),
  /** Upstreams that have left, if they were asked for. Builds up to 60659c7 name none. */
  departures: z.catch(z._default(z.array(departedStartSchema), []), []),
  changes: z.array(
    z.object({
      key: z.string(),
      /** Base64; absent when the key was deleted. */
      value: z.optional(z.string()),
      revision: z.int(),
    }),
  ),
});

/** Serializes records or changes. @param ageMs Age of the records, in milliseconds. */
export function serializeFeed(
  {changes, revision, era}: RecordChanges,
  ageMs: number,
  departures?: readonly DepartedStart[],
): string {
  const rows = changes.map(({key, value, revision: changeRevision}) => ({
    key,
    value: value?.toString('base64'),
    revision: changeRevision,
  }));
  return JSON.stringify({
    revision,
    era,
    ageMs: Math.ceil(ageMs),
    departures: departures?.slice(-MAXIMUM_DEPARTURES).map(toDepartureRow),
    changes: rows,
  });
}

function toDepartureRow(departed: DepartedStart): DepartedStart {
  const {id, startedAtEpochMs, sequence, service, address} = departed;
  const {isDraining, ageMs} = departed;
  const start = {id, startedAtEpochMs, sequence, service, address};
  return {...start, isDraining, ageMs: Math.ceil(ageMs)};
}

/** Converts a parsed response to record changes. */
export function toRecordChanges(
  feed: z.infer<typeof feedSchema>,
): RecordChanges {
  const changes = feed.changes.map(({key, value, revision}) => ({
    key,
    value: value === undefined ? undefined : Buffer.from(value, 'base64'),
    revision,
  }));
  return {changes, revision: feed.revision, era: feed.era};
}
