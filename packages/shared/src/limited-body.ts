/** Reads the body of an answer into memory, up to a limit. */

import {ByteCollector} from './byte-collector.js';

/**
 * Reads a body whole. Chunks are read one after the other, so that other work
 * is done between them.
 * @throws If it is longer than `limitBytes`; what is left of it isn't read.
 */
export async function readLimitedBody(
  body: AsyncIterable<Uint8Array>,
  limitBytes: number,
): Promise<Buffer> {
  const collector = new ByteCollector();
  for await (const chunk of body) {
    if (collector.bytes + chunk.length > limitBytes) {
      throw new RangeError(`the body exceeds ${limitBytes} bytes`);
    }
    collector.append(Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length));
  }
  return collector.take();
}
