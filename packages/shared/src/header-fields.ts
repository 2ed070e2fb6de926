/** Header fields that a proxy forwards. */

import type {IncomingHttpHeaders} from 'node:http';

/** Header names in lower case, with their values. */
export type HeaderFields = Record<string, string | string[] | undefined>;

/** Headers that apply to a single connection and are not forwarded. Source: RFC 9110, section 7.6.1. */
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

/** Copies the headers to forward: all but the hop-by-hop headers and those in `consumed`. */
export function copyEndToEndHeaders(
  headers: IncomingHttpHeaders,
  consumed: ReadonlySet<string>,
): HeaderFields {
  const connectionOptions = parseConnectionOptions(headers.connection);
  const copy: HeaderFields = {};
  for (const name in headers) {
    const isDropped =
      HOP_BY_HOP_HEADERS.has(name) ||
      consumed.has(name) ||
      connectionOptions?.has(name) === true;
    if (!isDropped) {
      copy[name] = headers[name];
    }
  }
  return copy;
}

/** Parses the header names that a `Connection` header declares as hop-by-hop. */
function parseConnectionOptions(
  value: string | undefined,
): ReadonlySet<string> | undefined {
  if (value === undefined || /^(keep-alive|close)$/i.test(value)) {
    return undefined;
  }
  return new Set(value.split(',').map(name => name.trim().toLowerCase()));
}
