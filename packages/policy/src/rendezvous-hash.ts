/** Rendezvous hashing: each pair of names has a stable pseudorandom number. */

import {createHash} from 'node:crypto';

const HASH_BYTES = 6;

/** Returns the number of a pair; those with the smallest numbers are chosen for each other. */
export function rendezvousHash(entry: string, upstream: string): number {
  const hash = createHash('sha1').update(`${entry} ${upstream}`).digest();
  return hash.readUIntBE(0, HASH_BYTES);
}
