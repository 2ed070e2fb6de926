/** Reading a manifest's text from a file. */

import {readFile} from 'node:fs/promises';
import {MAXIMUM_MANIFEST_BYTES} from '@wasabidyke/manifest';
import {Err, Ok, type Result} from '@wasabidyke/shared';

/** Reads a manifest's text, or tells why it cannot be read. */
export async function readManifestFile(
  file: string,
): Promise<Result<string, string>> {
  try {
    const content = await readFile(file);
    return content.length > MAXIMUM_MANIFEST_BYTES
      ? Err(`${file} is larger than ${MAXIMUM_MANIFEST_BYTES} bytes.`)
      : Ok(content.toString('utf8'));
  } catch (error) {
    const cause = error instanceof Error ? error.message : String(error);
    return Err(`Cannot read the manifest: ${cause}`);
  }
}
