/** Parses JSON that a schema checks afterwards. */

/** Parses JSON; undefined if the text is none, which schemas reject with an error. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // The caller's schema reports it.
    return undefined;
  }
}
