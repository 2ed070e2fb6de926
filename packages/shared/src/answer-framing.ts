/** Where the body of an answer ends. Source: RFC 9112, section 6.3. */

import type {IncomingHttpHeaders} from 'node:http';

/** Whether the headers leave the end of the body to the end of the connection, so that a cut looks like an end. Statuses and methods without a body are left to the caller. */
export function isDelimitedByConnection(headers: IncomingHttpHeaders): boolean {
  const {'content-length': length, 'transfer-encoding': codings} = headers;
  if (codings === undefined) {
    return length === undefined;
  }
  // Fields that are sent more than once are parsed to an array.
  const last = String(codings).split(',').at(-1);
  return last?.trim().toLowerCase() !== 'chunked';
}
