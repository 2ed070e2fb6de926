/** Reads a manifest from text, with all of its findings at once. */

import {DocumentSource, type Finding, type Result} from '@wasabidyke/shared';
import {checkManifest} from './checks/index.js';
import {manifestSchema, type Manifest} from './schema.js';

/**
 * Parses and checks a manifest.
 * @param source Name of the input, used in places.
 * @returns The manifest, or every finding with its line, column and path.
 */
export function parseManifest(
  source: string,
  text: string,
): Result<Manifest, readonly Finding[]> {
  return new DocumentSource(source, text).parse(manifestSchema, checkManifest);
}
