/** Requests that an entry answers with status 3xx or 4xx by itself. */

import {NO_REQUEST} from './caller-socket.js';

/** Id of the requests. */
export const OWN_ANSWER_ID = 'own-1';

/** Header line with the host of all routes. */
export const HOST_LINE = 'Host: shop.example';

/** Size of the header fields over the limit, and of their parts beside the padding, in bytes. */
const HEAD_BYTES = 9_000;
const UNPADDED_BYTES = 92 - 'GET/read/a'.length;

const BODY_BYTES = 100_001;

/** Chunks of one byte by which a body has one chunk too many. */
const CHUNK_COUNT = 18_725;

/** A request that asks for the end of its connection after the answer. */
export function toRequest(
  line: string,
  headers: readonly string[],
  body = '',
): string {
  const id = `Wasabidyke-Attempt-Id: ${OWN_ANSWER_ID}`;
  const lines = [`${line} HTTP/1.1`, ...headers, id, 'Connection: close'];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

const CHUNKED = [HOST_LINE, 'Transfer-Encoding: chunked'];

/** Requests, by what is wrong or odd in them. */
export const REQUESTS: Readonly<Record<string, string>> = {
  'a look-up for an unknown host': toRequest('GET /read/a?b=1', [
    'Host: none.example',
  ]),
  'a look-up for an unknown path': toRequest('GET /none/a?b=1', [HOST_LINE]),
  'a look-up for a route of no weight': toRequest('GET /idle/a?b=1', [
    HOST_LINE,
  ]),
  'a head over the limit': toRequest('GET /read/a', [
    HOST_LINE,
    `X-Padding: ${'x'.repeat(HEAD_BYTES - UNPADDED_BYTES)}`,
  ]),
  'a long body with its length': toRequest('POST /write/a', [
    HOST_LINE,
    `Content-Length: ${BODY_BYTES}`,
  ]),
  'a long body in chunks': toRequest(
    'POST /write/a',
    CHUNKED,
    `${BODY_BYTES.toString(16)}\r\n${'x'.repeat(BODY_BYTES)}\r\n`,
  ),
  'a body in too many chunks': toRequest(
    'POST /write/a',
    CHUNKED,
    '1\r\nx\r\n'.repeat(CHUNK_COUNT),
  ),
  'a request without a host': toRequest('GET /read/a', []),
  'a request without a host that waits to go on': toRequest('POST /write/a', [
    'Expect: 100-continue',
    'Content-Length: 0',
  ]),
  'a request with an odd expectation': toRequest('GET /read/a', [
    HOST_LINE,
    'Expect: a-miracle',
  ]),
};

/** Bytes that the parser refuses, by what they are. */
export const REFUSED: Readonly<Record<string, string>> = {
  'bytes that are no request': NO_REQUEST,
  'the rest of a body': '{"orders":3}',
  'a target with a space': 'GET /read/a b HTTP/1.1\r\nHost: a\r\n\r\n',
  'a head beyond all limits': `GET /read/a HTTP/1.1\r\nX-Padding: ${'x'.repeat(70_000)}`,
};
