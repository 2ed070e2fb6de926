/** Identity of a request across its sends: equal requests have equal fingerprints, whichever entry they reach. */

import {createHash} from 'node:crypto';

/** What makes two requests equal, whoever sends them. */
export interface FingerprintInput {
  /** What the path is relative to: a service, or a host. */
  readonly scope: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** The body; its declared length if it is not kept; null if there is none. */
  readonly body: Buffer | string | null;
}

/** Length of a fingerprint before encoding, in bytes: 128 bits make equal fingerprints of different requests improbable. */
const FINGERPRINT_BYTES = 16;

/** Length of a caller's fingerprint before encoding, in bytes: 48 bits tell the callers of one request apart. */
const CALLER_BYTES = 6;

/** Returns the fingerprint of a request, in base64url. */
export function toFingerprint(input: FingerprintInput): string {
  const {scope, method, path, body} = input;
  const hash = createHash('sha256');
  hash.update(JSON.stringify([scope, method, path]));
  if (body !== null) {
    hash.update(body);
  }
  return hash.digest().subarray(0, FINGERPRINT_BYTES).toString('base64url');
}

/** Returns the fingerprint of a caller's address, in base64url. */
export function toCallerFingerprint(address: string): string {
  const digest = createHash('sha256').update(address).digest();
  return digest.subarray(0, CALLER_BYTES).toString('base64url');
}
