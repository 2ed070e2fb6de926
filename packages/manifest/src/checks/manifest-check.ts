/** What the checks between the parts of a manifest have in common. */

import type {
  DocumentPath,
  DocumentSource,
  Draft,
  FindingCollector,
} from '@wasabidyke/shared';
import type {Manifest, RequestRule, Service, Upstream} from '../schema.js';

/** A part of a manifest together with its place. */
export interface Placed<Part> {
  readonly part: Part;
  readonly path: DocumentPath;
}

/** A check that a schema cannot express. It sees what is valid of a manifest. */
export abstract class ManifestCheck {
  protected readonly manifest: Draft<Manifest>;
  readonly #source: DocumentSource;
  readonly #findings: FindingCollector;

  constructor(
    manifest: Draft<Manifest>,
    source: DocumentSource,
    findings: FindingCollector,
  ) {
    this.manifest = manifest;
    this.#source = source;
    this.#findings = findings;
  }

  /** Adds a finding for each thing that is wrong. */
  abstract run(): void;

  /** Adds a finding. */
  protected add(code: string, path: DocumentPath, message: string): void {
    this.#findings.add({code, message, place: this.#source.toPlace(path)});
  }

  /** Adds a finding for each value that stands a second time. */
  protected checkUnique(
    values: ReadonlyArray<Placed<string | undefined>>,
    code: string,
    what: string,
  ): void {
    const seen = new Set<string>();
    for (const {part, path} of values) {
      if (part === undefined) {
        continue;
      }
      if (seen.has(part)) {
        this.add(code, path, `${what} "${part}" stands twice; change one.`);
      }
      seen.add(part);
    }
  }

  /** Every service with its place. */
  protected listServices(): ReadonlyArray<Placed<Draft<Service>>> {
    return place(this.manifest.services, ['services']);
  }

  /** Every upstream of a service with its place. */
  protected listUpstreams({
    part,
    path,
  }: Placed<Draft<Service>>): ReadonlyArray<Placed<Draft<Upstream>>> {
    return place(part.upstreams, [...path, 'upstreams']);
  }

  /** Every rule of a service with its place. */
  protected listRules({
    part,
    path,
  }: Placed<Draft<Service>>): ReadonlyArray<Placed<Draft<RequestRule>>> {
    return place(part.requests, [...path, 'requests']);
  }
}

/** The valid items of a list with their places. */
export function place<Part>(
  items: ReadonlyArray<Part | undefined> | undefined,
  path: DocumentPath,
): ReadonlyArray<Placed<Part>> {
  return (items ?? []).flatMap((part, index) =>
    part === undefined ? [] : [{part, path: [...path, index]}],
  );
}
