/** Checks between the parts of a manifest, which a schema cannot express. */

import type {DocumentSource, Draft, FindingCollector} from '@wasabidyke/shared';
import type {Manifest} from '../schema.js';
import {LoadWatchCheck} from './load-watch-check.js';
import {RegionCheck} from './region-check.js';
import {RuleCheck} from './rule-check.js';
import {ServiceCheck} from './service-check.js';
import {UpstreamCheck} from './upstream-check.js';

const CHECKS = [
  RegionCheck,
  ServiceCheck,
  UpstreamCheck,
  RuleCheck,
  LoadWatchCheck,
];

/** Runs every check; findings go to `findings`. */
export function checkManifest(
  manifest: Draft<Manifest>,
  source: DocumentSource,
  findings: FindingCollector,
): void {
  for (const Check of CHECKS) {
    new Check(manifest, source, findings).run();
  }
}
