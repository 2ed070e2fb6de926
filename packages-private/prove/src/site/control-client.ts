/** Speaks to the control ports of the stand-ins. */

import {request} from 'undici';

const TIMEOUT_MS = 5_000;

/** Sends a change to a control port. @throws When it is not taken. */
export async function sendControl(
  method: 'POST' | 'PUT' | 'PATCH',
  url: string,
  change: object,
): Promise<void> {
  const answer = await request(url, {
    method,
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(change),
    signal: AbortSignal.timeout(TIMEOUT_MS),
  });
  const text = await answer.body.text();
  if (answer.statusCode !== 200) {
    throw new Error(`${method} ${url}: ${answer.statusCode} ${text}`);
  }
}
