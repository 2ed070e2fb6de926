/** Messages between an entry that reads the store and those that follow it. */

import * as z from 'zod/mini';
import type {RecordChanges} from '../store/record-store.js';

/** Path at which records are fed. */
export const FEED_PATH = '/v1/records';

/** Records or their changes. */
export const feedSchema = z.object({
  revision: z.int(),
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
export function writeFeed({changes, revision}: RecordChanges): string {
  const rows = changes.map(({key, value, revision: changedAt}) => ({
    key,
    value: value?.toString('base64'),
    revision: changedAt,
  }));
  return JSON.stringify({revision, changes: rows});
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
