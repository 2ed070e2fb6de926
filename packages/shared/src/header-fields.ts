/** Headers that pass through. */

import type {IncomingHttpHeaders} from 'node:http';

/** Header names in lower case, with their values. */
export type HeaderFields = Record<string, string | string[] | undefined>;

/** Headers that concern one connection alone. Source: RFC 9110, section 7.6.1. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** The headers that go on, without those of one connection and without `consumed`. */
export function copyHeaders(
  headers: IncomingHttpHeaders,
  consumed: ReadonlySet<string>,
): HeaderFields {
  const named = toNames(headers.connection);
  const copy: HeaderFields = {};
  for (const name in headers) {
    const isDropped =
      HOP_BY_HOP_HEADERS.has(name) ||
      consumed.has(name) ||
      named?.has(name) === true;
    if (!isDropped) {
      copy[name] = headers[name];
    }
  }
  return copy;
}

/** Headers that a `Connection` header declares to concern the connection. */
function toNames(value: string | undefined): ReadonlySet<string> | undefined {
  if (value === undefined || /^(keep-alive|close)$/i.test(value)) {
    return undefined;
  }
  return new Set(value.split(',').map(name => name.trim().toLowerCase()));
}
