/** Findings about input: collected with their place and reported together. */

/** Where in an input a finding applies. Lines and columns count from 1. */
export interface Place {
  /** The file or other source that was read. */
  readonly source: string;
  readonly line: number;
  readonly column: number;
  /** Path inside the document, such as `services[0].name`. */
  readonly path: string;
}

/** One thing that is wrong with an input, and what to do about it. */
export interface Finding {
  /** Stable identifier of the kind of finding, such as `duplicate-address`. */
  readonly code: string;
  readonly message: string;
  readonly place: Place;
}

/** Collects findings while an input is checked. */
export class FindingCollector {
  readonly #findings: Finding[] = [];

  /** Adds one finding. */
  add(finding: Finding): void {
    this.#findings.push(finding);
  }

  /** Whether anything was found. */
  has(): boolean {
    return this.#findings.length > 0;
  }

  /** All findings in the order of their places. */
  toSorted(): readonly Finding[] {
    return this.#findings.toSorted(comparePlaces);
  }
}

/** Formats a finding as `source:line:column: message [code] (path)`. */
export function formatFinding(finding: Finding): string {
  const {source, line, column, path} = finding.place;
  const where = path === '' ? '' : ` (${path})`;
  return `${source}:${line}:${column}: ${finding.message} [${finding.code}]${where}`;
}

function comparePlaces(left: Finding, right: Finding): number {
  const lines = left.place.line - right.place.line;
  return lines === 0 ? left.place.column - right.place.column : lines;
}
