/** Checks of client accounts before a configuration is applied. */

import type {ClientAccount} from './routing-configuration.js';

/** Maximum size of a key, in bytes of UTF-8. Source: the limit of 1 kB for keys; the larger reading of it refuses no key that operators may have issued. */
export const MAXIMUM_KEY_BYTES = 1_024;

/** Maximum of a quota and of a burst, in requests per second and in requests. Source: the limit of 10^12 for quotas. */
export const MAXIMUM_QUOTA = 1e12;

/** Code points of control characters, which no header value may contain. */
const FIRST_PRINTABLE_CODE = 0x20;
const DELETE_CODE = 0x7f;

/** Finds what is wrong with one account; undefined if nothing is. The text names the account and never contains a key. */
export function findAccountProblem(account: ClientAccount): string | undefined {
  const problem =
    findNameProblem(account.name) ??
    findQuotaProblem('quota', account.requestsPerSecond) ??
    findQuotaProblem('burst', account.burst) ??
    findKeysProblem(account.keys);
  return problem && `account ${JSON.stringify(account.name)}: ${problem}`;
}

/** Blanks at the ends of a header value, which belong to no value. Source: RFC 9110, section 5.5. */
const OUTER_BLANKS = /^[ \t]|[ \t]$/;

/** Upstreams get the name in a header. */
function findNameProblem(name: string): string | undefined {
  return hasControls(name) ? 'the name has control characters' : undefined;
}

function hasControls(text: string): boolean {
  for (let index = 0; index < text.length; index++) {
    const code = text.charCodeAt(index);
    if (code < FIRST_PRINTABLE_CODE || code === DELETE_CODE) {
      return true;
    }
  }
  return false;
}

function findQuotaProblem(what: string, value: number): string | undefined {
  if (!Number.isFinite(value) || value < 0) {
    return `the ${what} is negative or not finite`;
  }
  return value > MAXIMUM_QUOTA ? `the ${what} is over 10^12` : undefined;
}

function findKeysProblem(keys: readonly string[]): string | undefined {
  for (const [index, key] of keys.entries()) {
    if (key === '') {
      return `key ${index + 1} is empty`;
    }
    if (Buffer.byteLength(key) > MAXIMUM_KEY_BYTES) {
      return `key ${index + 1} is over ${MAXIMUM_KEY_BYTES} bytes`;
    }
    // Callers can't send such a key: each of their requests would get a 401.
    if (OUTER_BLANKS.test(key)) {
      return `key ${index + 1} begins or ends with a blank`;
    }
    // A value may have tabs inside.
    if (hasControls(key.replaceAll('\t', ''))) {
      return `key ${index + 1} has control characters`;
    }
  }
  return undefined;
}
