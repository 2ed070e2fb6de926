/** Checks of services as such: their names and path prefixes. */

import {toPathPrefix} from '../path-prefix.js';
import {ManifestCheck, type Placed} from './manifest-check.js';

/** The first segment of a path that the system keeps for its own pages. */
const RESERVED_PREFIX = '/v1';

/** Services have names and path prefixes of their own. */
export class ServiceCheck extends ManifestCheck {
  override run(): void {
    const names = this.listServices().map(({part, path}) => ({
      part: part.name,
      path: [...path, 'name'],
    }));
    this.checkUnique(names, 'duplicate-service', 'Service');
    const prefixes = this.#listPrefixes();
    this.checkUnique(prefixes, 'duplicate-prefix', 'Path prefix');
    for (const {part, path} of prefixes) {
      if (part === RESERVED_PREFIX || part.startsWith(`${RESERVED_PREFIX}/`)) {
        const message = `Path prefix "${part}" is kept for the system's own pages; choose another.`;
        this.add('reserved-prefix', path, message);
      }
    }
  }

  #listPrefixes(): ReadonlyArray<Placed<string>> {
    return this.listServices().flatMap(({part, path}) => {
      const {name, pathPrefix} = part;
      if (name === undefined && pathPrefix === undefined) {
        return [];
      }
      const prefix = toPathPrefix({name: name ?? '', pathPrefix});
      const normalized = prefix.replace(/(?<=.)\/$/, '');
      const stated = pathPrefix === undefined ? 'name' : 'pathPrefix';
      return [{part: normalized, path: [...path, stated]}];
    });
  }
}
