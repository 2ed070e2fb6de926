/** Problems found in an input, collected with their places and reported together. */

/** Position of a finding in an input. Lines and columns count from 1. */
export interface Place {
  /** Name of the file or other input. */
  readonly source: string;
  readonly line: number;
  readonly column: number;
  /** Path inside the document, such as `services[0].name`. */
  readonly path: string;
}

/** A problem in an input. */
export interface Finding {
  /** Stable identifier of the kind of finding, such as `duplicate-address`. */
  readonly code: string;
  /** What is wrong and how to correct it. */
  readonly message: string;
  readonly place: Place;
}

/** Collects the findings of all checks of an input. */
export class FindingCollector {
  readonly #findings: Finding[] = [];

  /** Adds one finding. */
  add(finding: Finding): void {
    this.#findings.push(finding);
  }

  /** Whether there is any finding. */
  hasAny(): boolean {
    return this.#findings.length > 0;
  }

  /** All findings, sorted by line and column. */
  toSorted(): readonly Finding[] {
    return this.#findings.toSorted(comparePlaces);
  }
}

/** Formats a finding as `source:line:column: message [code] (path)`. */
export function formatFinding(finding: Finding): string {
  const {source, line, column, path} = finding.place;
  const pathSuffix = path === '' ? '' : ` (${path})`;
  return `${source}:${line}:${column}: ${finding.message} [${finding.code}]${pathSuffix}`;
}

function comparePlaces(left: Finding, right: Finding): number {
  const lineDifference = left.place.line - right.place.line;
  return lineDifference === 0
    ? left.place.column - right.place.column
    : lineDifference;
}
