/** Answers to requests that Node's parser refuses. */

/** How a refused request is answered. */
export interface MalformedKind {
  readonly status: number;
  readonly phrase: string;
  readonly reason: 'malformed' | 'head-overflow' | 'overdue';
}

const MALFORMED: MalformedKind = {
  status: 400,
  phrase: 'Bad Request',
  reason: 'malformed',
};

/** The kinds that have a status of their own, by the code of the parser's error. */
const KIND_BY_CODE = new Map<string, MalformedKind>([
  [
    'ERR_HTTP_REQUEST_TIMEOUT',
    {status: 408, phrase: 'Request Timeout', reason: 'overdue'},
  ],
  [
    'HPE_HEADER_OVERFLOW',
    {
      status: 431,
      phrase: 'Request Header Fields Too Large',
      reason: 'head-overflow',
    },
  ],
]);

/** Returns how a malformed or oversized request, or one that took too long to arrive, is answered. */
export function toMalformedKind({code}: NodeJS.ErrnoException): MalformedKind {
  return KIND_BY_CODE.get(code ?? '') ?? MALFORMED;
}

/** The answer to a malformed or oversized request, or to one that took too long to arrive. */
export function toMalformedAnswer(error: NodeJS.ErrnoException): string {
  const {status, phrase} = toMalformedKind(error);
  return `HTTP/1.1 ${status} ${phrase}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`;
}
