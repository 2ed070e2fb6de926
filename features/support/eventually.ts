/** Waiting for what must come about. */

import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';

const POLL_MS = 20;

/** Waits until `check` holds; fails after `limitMs`, which is generous so that a busy machine doesn't decide. */
export async function eventually(
  what: string,
  check: () => boolean | Promise<boolean>,
  limitMs = 20_000,
): Promise<void> {
  const endMs = performance.now() + limitMs;
  while (!(await check())) {
    assert.ok(performance.now() < endMs, `${what} did not come about`);
    await sleep(POLL_MS);
  }
}
