/** Messages between an entry that reads the store and those that follow it. */

import * as z from 'zod/mini';
import type {RecordChanges} from '../store/record-store.js';

/** Age of what a feeder knows from which on it feeds nothing, in milliseconds. Source: with the pause of the entry that reads the store and a read by the follower itself it stays within the shortest bound on draining, 2.5 seconds. */
export const FEED_MAXIMUM_AGE_MS = 1_600;

/** Path at which records are fed. */
export const FEED_PATH = '/v1/records';

/** Records or their changes. */
export const feedSchema = z.object({
  revision: z.int(),
  /** Time since the store itself told that nothing is missing, over all entries in between. */
  ageMs: z.number().check(z.minimum(0)),
  changes: z.array(
    z.object({
      key: z.string(),
      /** Base64; absent when the key was deleted. */
      value: z.optional(z.string()),
      revision: z.int(),
    }),
  ),
});

/** Writes records or their changes. */
export function writeFeed(
  {changes, revision}: RecordChanges,
  ageMs: number,
): string {
  const rows = changes.map(({key, value, revision: changedAt}) => ({
    key,
    value: value?.toString('base64'),
    revision: changedAt,
  }));
  return JSON.stringify({revision, ageMs: Math.ceil(ageMs), changes: rows});
}

/** Reads records or their changes. */
export function readFeed(feed: z.infer<typeof feedSchema>): RecordChanges {
  const changes = feed.changes.map(({key, value, revision}) => ({
    key,
    value: value === undefined ? undefined : Buffer.from(value, 'base64'),
    revision,
  }));
  return {changes, revision: feed.revision};
}
