/** Reads a manifest from text, with all of its findings at once. */

import {
  DocumentSource,
  Err,
  FindingCollector,
  Ok,
  type Finding,
  type Result,
} from '@wasabidyke/shared';
import {checkManifest} from './cross-checks.js';
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
  const document = new DocumentSource(source, text);
  const parsed = document.parse(manifestSchema);
  if (parsed.isErr()) {
    return parsed;
  }
  const findings = new FindingCollector();
  checkManifest(parsed.value, document, findings);
  return findings.has() ? Err(findings.toSorted()) : Ok(parsed.value);
}
