/** Reads the bodies of requests to the stand-ins. */

import type {IncomingMessage} from 'node:http';

/** Reads a body whole. */
export async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of request) {
      chunks.push(chunk as Buffer);
    }
  } catch {
    // The sender broke off; what arrived is of no use.
    return '';
  }
  return Buffer.concat(chunks).toString('utf8');
}
