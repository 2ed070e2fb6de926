/** The bearer token that guards the operators' interface. */

import {createHash, timingSafeEqual} from 'node:crypto';

const BEARER_PREFIX = /^bearer +/i;

/** Checks `Authorization` headers in a time that does not depend on the token. */
export class TokenGuard {
  readonly #digest: Buffer;

  constructor(token: string) {
    this.#digest = digest(token);
  }

  /** Whether the header carries the token. */
  accepts(authorization: string | undefined): boolean {
    if (authorization === undefined || !BEARER_PREFIX.test(authorization)) {
      return false;
    }
    const offered = authorization.replace(BEARER_PREFIX, '').trim();
    return timingSafeEqual(digest(offered), this.#digest);
  }
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
