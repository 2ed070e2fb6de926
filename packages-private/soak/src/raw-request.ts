/** Requests as text: look-ups and orders of a size that is right at a limit, with a length or in chunks. */

import type {CallRecord} from './history.js';
import {HOST, type LimitRecord} from './routes.js';

/** A request to write, and what is noted of it. */
export interface RawRequest {
  readonly call: CallRecord;
  readonly text: string;
}

/** How a request is written. */
export interface RawRequestOptions {
  readonly call: Pick<
    CallRecord,
    'id' | 'kind' | 'path' | 'entry' | 'sentAtMs' | 'key' | 'host'
  >;
  readonly deadlineMs: number;
  /** Sizes to reach; undefined to send no more than is needed. */
  readonly fill?: Partial<LimitRecord>;
  /** Draws the sizes of chunks up to a bound; undefined for a body with a length. */
  readonly drawChunkBytes?: () => number;
}

/** Writes a request as text. */
export function toRawRequest({
  call,
  deadlineMs,
  fill = {},
  drawChunkBytes,
}: RawRequestOptions): RawRequest {
  const {id, kind, path, key, host = HOST} = call;
  const body = 'x'.repeat(fill.bodyBytes ?? 0);
  const isChunked = body !== '' && drawChunkBytes !== undefined;
  const lines = [
    `${kind === 'safe' ? 'GET' : 'POST'} ${path} HTTP/1.1`,
    `Host: ${host}`,
    `Wasabidyke-Attempt-Id: ${id}`,
    `Wasabidyke-Request-Deadline-Ms: ${deadlineMs}`,
    ...(key === undefined ? [] : [`Wasabidyke-Key: ${key}`]),
    ...(isChunked ? ['Transfer-Encoding: chunked'] : []),
    ...(!isChunked && kind === 'unsafe'
      ? [`Content-Length: ${body.length}`]
      : []),
  ];
  const filler = 'Filler: ';
  const usedBytes = [...lines, filler, '\r\n'].join('\r\n').length;
  const fillBytes = (fill.headBytes ?? 0) - usedBytes;
  const head = [
    ...lines,
    ...(fillBytes > 0 ? [filler + 'x'.repeat(fillBytes)] : []),
    '\r\n',
  ].join('\r\n');
  return {
    call: {
      ...call,
      isProbe: true,
      headBytes: head.length,
      bodyBytes: body.length,
    },
    text: head + (isChunked ? toChunks(body, drawChunkBytes) : body),
  };
}

function toChunks(body: string, drawChunkBytes: () => number): string {
  let text = '';
  for (let at = 0; at < body.length;) {
    const chunk = body.slice(at, at + drawChunkBytes());
    text += `${chunk.length.toString(16)}\r\n${chunk}\r\n`;
    at += chunk.length;
  }
  return `${text}0\r\n\r\n`;
}
