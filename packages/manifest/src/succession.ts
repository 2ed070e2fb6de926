/** Checks of a manifest against the one that it follows. */

import type {DocumentSource, FindingCollector} from '@wasabidyke/shared';
import {toPathPrefix} from './path-prefix.js';
import type {Manifest} from './schema.js';
import {Snapshot} from './snapshot.js';

/**
 * Finds the at-most-once requests of `previous` that `next` would let run
 * again. A resend that was under way at the change could then run twice, so
 * such a route must be withdrawn in one manifest before it returns otherwise.
 */
export function checkSuccession(
  previous: Manifest,
  next: Manifest,
  source: DocumentSource,
  findings: FindingCollector,
): void {
  const snapshot = new Snapshot(0, next);
  for (const {method, path} of listOnceRoutes(previous)) {
    const route = snapshot.findRoute(method, path);
    if (typeof route === 'string' || route.rule.kind === 'at-most-once') {
      continue;
    }
    const service = next.services.indexOf(route.service);
    const rule = route.service.requests.indexOf(route.rule);
    const place = source.toPlace([
      'services',
      service,
      'requests',
      rule,
      'kind',
    ]);
    const message = `${method} ${path} was at-most-once and may not become "${route.rule.kind}" at once; withdraw it in one manifest first.`;
    findings.add({code: 'at-most-once-weakened', message, place});
  }
}

function listOnceRoutes(
  manifest: Manifest,
): ReadonlyArray<{method: string; path: string}> {
  return manifest.services.flatMap(service =>
    service.requests
      .filter(rule => rule.kind === 'at-most-once')
      .flatMap(rule =>
        rule.methods.map(method => ({
          method,
          path: joinPath(toPathPrefix(service), rule.path),
        })),
      ),
  );
}

function joinPath(prefix: string, path: string): string {
  return `${prefix.replace(/\/$/, '')}${path}`;
}
