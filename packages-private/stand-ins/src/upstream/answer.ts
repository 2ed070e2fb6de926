/** The answer of an upstream stand-in, which a caller can check. */

import {createHash} from 'node:crypto';
import {z} from 'zod';

const BLOCK_BYTES = 65_536;
const DIGEST_HEX_LENGTH = 64;

/** First line of an answer; the payload follows it. */
export const answerHeadSchema = z.strictObject({
  request: z.string(),
  key: z.string().nullable(),
  worker: z.string(),
  /** Identity of the run. */
  run: z.string(),
  requestBytes: z.int(),
  requestDigest: z.string(),
  payloadBytes: z.int(),
  /** SHA-256 of the payload, in hexadecimal. */
  payloadDigest: z.string(),
});

/** First line of an answer. */
export type AnswerHead = z.infer<typeof answerHeadSchema>;

/** The payload of a run, in blocks of at most 64 KiB; the same for the same run and size. */
export function createPayload(run: string, bytes: number): readonly Buffer[] {
  const seed = createHash('sha256').update(run).digest('hex');
  const repeats = Math.ceil(Math.min(bytes, BLOCK_BYTES) / DIGEST_HEX_LENGTH);
  const block = Buffer.from(seed.repeat(repeats));
  const blocks: Buffer[] = [];
  for (let left = bytes; left > 0; left -= BLOCK_BYTES) {
    blocks.push(left >= BLOCK_BYTES ? block : block.subarray(0, left));
  }
  return blocks;
}

/** SHA-256 of blocks, in hexadecimal. */
export function digestBlocks(blocks: readonly Buffer[]): string {
  const hash = createHash('sha256');
  for (const block of blocks) {
    hash.update(block);
  }
  return hash.digest('hex');
}
