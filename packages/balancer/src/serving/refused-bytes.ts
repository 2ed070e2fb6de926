/**
 * Describes the bytes at which the parser gave up. They may be a part of any
 * header or body, so only a method and a path are told as they are; of the rest
 * the shape is told.
 */

import {METHODS} from 'node:http';

/** Bytes that are described before the one that was refused, and from it on. */
const BYTES_BEFORE = 24;
const BYTES_AFTER = 32;

const NEWLINE = 0x0a;

const REQUEST_LINE = /^([A-Z-]+) (\/[!->@-~]*)(?= )/;

/**
 * Returns the bytes around the refused one, from the start of its line on;
 * undefined if the parser had none. Letters become `x` or `X`, digits `9`, and
 * bytes that can't be printed are escaped.
 * @param refusedAt Offset of the refused byte.
 */
export function describeRefusedBytes(
  bytes: Buffer | undefined,
  refusedAt = 0,
): string | undefined {
  if (bytes === undefined) {
    return undefined;
  }
  const lineStart =
    refusedAt === 0 ? 0 : bytes.lastIndexOf(NEWLINE, refusedAt - 1) + 1;
  const start = Math.max(lineStart, refusedAt - BYTES_BEFORE);
  const text = bytes.toString('latin1', start, refusedAt + BYTES_AFTER);
  const [known, method] = REQUEST_LINE.exec(text) ?? [''];
  const isRequestLine = METHODS.includes(method);
  const plain = isRequestLine && start === lineStart ? known : '';
  return plain + toShape(text.slice(plain.length));
}

function toShape(text: string): string {
  return text
    .replace(/[a-z]/g, 'x')
    .replace(/[A-Z]/g, 'X')
    .replace(/[0-9]/g, '9')
    .replace(/[^ -~]/g, toEscape);
}

function toEscape(character: string): string {
  const code = character.charCodeAt(0).toString(16).padStart(2, '0');
  return `\\${code}`;
}
