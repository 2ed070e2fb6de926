/** Where a service's requests begin. */

import type {Service} from './schema.js';

/** The path prefix of a service: as stated, or its name. */
export function toPathPrefix(
  service: Pick<Service, 'name' | 'pathPrefix'>,
): string {
  return service.pathPrefix ?? `/${service.name}`;
}
