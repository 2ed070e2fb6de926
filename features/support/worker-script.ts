/** What a scripted worker can be told to do. */

/** Value of a header, a character a byte: UTF-8 of a euro sign, and a byte that is no UTF-8. */
export const ODD_HEADER_BYTES = '\u00e2\u0082\u00ac 5 \u00ff';

/** Time that a slow answer takes unless stated, in milliseconds. */
export const SLOW_MS = 300;

/** How the worker answers requests. */
export type WorkerScript =
  | 'answers'
  | 'slow'
  | 'hangs'
  | 'sheds'
  | 'resets'
  | 'truncates'
  | 'unframed'
  | 'unframed-reset'
  | 'foreign'
  | 'extra'
  | 'early'
  | 'error'
  | 'other-worker'
  | 'unsigned'
  /** Answers have a header with bytes beyond ASCII. */
  | 'has-odd-headers'
  /** The first request is refused, and that refusal is written once more while the next one runs: with its id or without one. */
  | 'repeats-refusal'
  | 'repeats-refusal-without-id'
  /** Load queries are refused, and the refusal of one is written once more while the next request runs. */
  | 'repeats-load-refusal'
  /** The connection ends, or is reset, within the head of an answer. */
  | 'cut-status'
  | 'cut-header'
  | 'cut-head'
  | 'cut-head-reset'
  | 'cut-head-after-informational'
  /** Bytes without end, until the connection closes: in a head, a body, a chunk's extension, or the answer to a load query. */
  | 'endless-head'
  | 'endless-informational'
  | 'endless-body'
  | 'endless-unsigned'
  | 'endless-extension'
  /** Bodies in tiny chunks: 50,000 of one byte and then nothing, 40,000 of 16 bytes and then nothing, one byte without end. */
  | 'tiny-chunks'
  | 'small-chunks'
  | 'endless-chunks'
  /** The answer to a load query is in tiny chunks without end. */
  | 'endless-load-chunks'
  | 'endless-load';
