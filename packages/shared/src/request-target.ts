/** Parses the target of an HTTP request. */

/** Base of targets that name no host; only the path and the query are used. */
const BASE = 'http://entry';

/** Parses a request's target; undefined if it is none. A target that begins with two slashes is a path. */
export function parseRequestTarget(target: string): URL | undefined {
  try {
    return new URL(target.startsWith('/') ? BASE + target : target, BASE);
  } catch {
    // Any bytes may stand in a request; the caller answers with an error.
    return undefined;
  }
}
