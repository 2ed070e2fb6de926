/**
 * Collects the bytes of a body in blocks of its own. The memory that it takes
 * follows from the number of bytes alone, not from the number of chunks, and no
 * larger buffer is kept alive that a chunk is a part of.
 */

/** Sizes of the first block and of the largest ones, in bytes: a typical body fits into the first. */
const FIRST_BLOCK_BYTES = 2_048;
const LARGEST_BLOCK_BYTES = 262_144;

/** Collects chunks. */
export class ByteCollector {
  #blocks: Buffer[] = [];
  /** Bytes used of the last block. */
  #usedBytes = 0;
  #bytes = 0;
  #heldBytes = 0;

  /** Bytes collected. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Bytes of memory taken. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Bytes of memory that the next chunk takes. */
  growthFor(chunkBytes: number): number {
    const missingBytes = chunkBytes - this.#freeBytes;
    return missingBytes > 0 ? this.#nextBlockBytes(missingBytes) : 0;
  }

  /** Copies a chunk. */
  append(chunk: Buffer): void {
    const fitting = chunk.subarray(0, this.#freeBytes);
    this.#copy(fitting);
    const rest = chunk.subarray(fitting.length);
    if (rest.length > 0) {
      const block = Buffer.allocUnsafeSlow(this.#nextBlockBytes(rest.length));
      this.#blocks.push(block);
      this.#usedBytes = 0;
      this.#heldBytes += block.length;
      this.#copy(rest);
    }
    this.#bytes += chunk.length;
  }

  /** All bytes in one buffer; the collector is empty afterwards. */
  take(): Buffer {
    const last = this.#blocks.at(-1)?.subarray(0, this.#usedBytes);
    const full = this.#blocks.slice(0, -1);
    const parts = last === undefined ? [] : [...full, last];
    this.clear();
    return parts.length === 1 ? parts[0] : Buffer.concat(parts);
  }

  /** Drops all bytes. */
  clear(): void {
    this.#blocks = [];
    this.#usedBytes = 0;
    this.#bytes = 0;
    this.#heldBytes = 0;
  }

  get #freeBytes(): number {
    return (this.#blocks.at(-1)?.length ?? 0) - this.#usedBytes;
  }

  /** Blocks double, so that there are few of a large body and little is taken for a small one. */
  #nextBlockBytes(neededBytes: number): number {
    const doubledBytes = Math.max(FIRST_BLOCK_BYTES, this.#heldBytes);
    return Math.max(neededBytes, Math.min(doubledBytes, LARGEST_BLOCK_BYTES));
  }

  #copy(bytes: Buffer): void {
    const block = this.#blocks.at(-1);
    if (block !== undefined) {
      bytes.copy(block, this.#usedBytes);
      this.#usedBytes += bytes.length;
    }
  }
}
