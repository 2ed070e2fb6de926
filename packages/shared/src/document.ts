/** Reading JSON with comments against a schema, with every finding placed. */

import {
  createScanner,
  findNodeAtLocation,
  getNodeValue,
  parseTree,
  printParseErrorCode,
  SyntaxKind,
  type Node,
  type ParseError,
} from 'jsonc-parser';
import {Err, Ok, type Result} from 'ts-results-es';
import type {z} from 'zod';
import {takeOut, type Draft} from './draft.js';
import {FindingCollector, type Finding, type Place} from './finding.js';

/** Deepest nesting that is read; deeper text would exhaust the parser's stack. */
const MAXIMUM_DEPTH = 100;

/** A path inside a document: property names and array indexes. */
export type DocumentPath = ReadonlyArray<string | number>;

/** A check beyond the schema; it sees what is valid and adds findings. */
export type DocumentCheck<Value> = (
  draft: Draft<Value>,
  source: DocumentSource,
  findings: FindingCollector,
) => void;

/** A parsed document that can tell the place of each of its parts. */
export class DocumentSource {
  readonly #source: string;
  readonly #text: string;
  readonly #root: Node | undefined;
  readonly #lineStarts: readonly number[];
  readonly #syntaxErrors: ParseError[] = [];
  readonly #tooDeepAt: number | undefined;

  /** @param source Name of the input, used in places. */
  constructor(source: string, text: string) {
    this.#source = source;
    this.#text = text;
    this.#lineStarts = findLineStarts(text);
    this.#tooDeepAt = findTooDeep(text);
    if (this.#tooDeepAt === undefined) {
      this.#root = parseTree(text, this.#syntaxErrors, {
        allowTrailingComma: true,
        disallowComments: false,
      });
    }
  }

  /** The place of the value at `path`, or of its nearest existing ancestor. */
  toPlace(path: DocumentPath): Place {
    const node = this.#findNearest(path);
    return this.#placeAt(node?.offset ?? 0, formatPath(path));
  }

  /**
   * Parses the document against `schema`, then runs `check` on all that is
   * valid, so that one reading tells every finding.
   * @param check Given the parsed document, or what remains of an invalid one.
   * @returns The typed value, or every finding, sorted by place.
   */
  parse<Schema extends z.ZodType>(
    schema: Schema,
    check?: DocumentCheck<z.infer<Schema>>,
  ): Result<z.infer<Schema>, readonly Finding[]> {
    const findings = new FindingCollector();
    this.#collectSyntax(findings);
    if (this.#root === undefined || findings.has()) {
      return Err(this.#orEmptyInput(findings));
    }
    this.#collectDuplicateProperties(this.#root, [], findings);
    const content: unknown = getNodeValue(this.#root);
    const parsed = schema.safeParse(content);
    if (!parsed.success) {
      this.#collectIssues(parsed.error.issues, findings);
    }
    const rest = parsed.success
      ? parsed.data
      : takeOut(content, findInvalid(parsed.error.issues));
    if (rest !== undefined) {
      check?.(rest as Draft<z.infer<Schema>>, this, findings);
    }
    if (findings.has() || !parsed.success) {
      return Err(findings.toSorted());
    }
    return Ok(parsed.data);
  }

  #collectSyntax(findings: FindingCollector): void {
    if (this.#tooDeepAt !== undefined) {
      const message = `Nested deeper than ${MAXIMUM_DEPTH} levels; flatten it.`;
      const place = this.#placeAt(this.#tooDeepAt, '');
      findings.add({code: 'too-deep', message, place});
    }
    for (const error of this.#syntaxErrors) {
      const message = `Syntax error: ${printParseErrorCode(error.error)}.`;
      const place = this.#placeAt(error.offset, '');
      findings.add({code: 'syntax', message, place});
    }
  }

  #orEmptyInput(findings: FindingCollector): readonly Finding[] {
    if (!findings.has()) {
      const message = 'The document is empty.';
      findings.add({code: 'syntax', message, place: this.#placeAt(0, '')});
    }
    return findings.toSorted();
  }

  #collectDuplicateProperties(
    node: Node,
    path: DocumentPath,
    findings: FindingCollector,
  ): void {
    const seen = new Set<string>();
    for (const [index, child] of (node.children ?? []).entries()) {
      const [key, value] = child.children ?? [];
      if (child.type !== 'property' || key === undefined) {
        this.#collectDuplicateProperties(child, [...path, index], findings);
        continue;
      }
      const name = String(key.value);
      if (seen.has(name)) {
        const message = `Property "${name}" stands twice; remove one.`;
        const place = this.#placeAt(key.offset, formatPath([...path, name]));
        findings.add({code: 'duplicate-property', message, place});
      }
      seen.add(name);
      if (value !== undefined) {
        this.#collectDuplicateProperties(value, [...path, name], findings);
      }
    }
  }

  #collectIssues(
    issues: ReadonlyArray<z.core.$ZodIssue>,
    findings: FindingCollector,
  ): void {
    for (const issue of issues) {
      if (issue.code === 'unrecognized_keys') {
        this.#collectUnknownKeys(issue, findings);
        continue;
      }
      const place = this.toPlace(toDocumentPath(issue.path));
      findings.add({code: issue.code, message: issue.message, place});
    }
  }

  #collectUnknownKeys(
    issue: z.core.$ZodIssueUnrecognizedKeys,
    findings: FindingCollector,
  ): void {
    for (const key of issue.keys) {
      const place = this.toPlace([...toDocumentPath(issue.path), key]);
      const message = `Unknown property "${key}"; remove it or correct its name.`;
      findings.add({code: 'unknown-property', message, place});
    }
  }

  #findNearest(path: DocumentPath): Node | undefined {
    if (this.#root === undefined) {
      return undefined;
    }
    for (let length = path.length; length > 0; length--) {
      const node = findNodeAtLocation(this.#root, path.slice(0, length));
      if (node !== undefined) {
        return node;
      }
    }
    return this.#root;
  }

  #placeAt(offset: number, path: string): Place {
    const bounded = Math.min(offset, this.#text.length);
    const after = this.#lineStarts.findIndex(start => start > bounded);
    const line = after === -1 ? this.#lineStarts.length : after;
    const column = bounded - this.#lineStarts[line - 1] + 1;
    return {source: this.#source, line, column, path};
  }
}

/** Writes a document path the way JavaScript would access it. */
export function formatPath(path: DocumentPath): string {
  let text = '';
  for (const part of path) {
    text +=
      typeof part === 'number' ? `[${part}]` : text === '' ? part : `.${part}`;
  }
  return text;
}

function toDocumentPath(path: readonly PropertyKey[]): DocumentPath {
  return path.map(part => (typeof part === 'number' ? part : String(part)));
}

function findTooDeep(text: string): number | undefined {
  const scanner = createScanner(text, true);
  let depth = 0;
  let token = scanner.scan();
  while (token !== SyntaxKind.EOF) {
    if (isOpening(token)) {
      depth += 1;
    } else if (isClosing(token)) {
      depth -= 1;
    }
    if (depth > MAXIMUM_DEPTH) {
      return scanner.getTokenOffset();
    }
    token = scanner.scan();
  }
  return undefined;
}

function isOpening(token: SyntaxKind): boolean {
  return (
    token === SyntaxKind.OpenBraceToken || token === SyntaxKind.OpenBracketToken
  );
}

function isClosing(token: SyntaxKind): boolean {
  return (
    token === SyntaxKind.CloseBraceToken ||
    token === SyntaxKind.CloseBracketToken
  );
}

function findInvalid(
  issues: ReadonlyArray<z.core.$ZodIssue>,
): readonly DocumentPath[] {
  const invalid = issues.filter(issue => issue.code !== 'unrecognized_keys');
  return invalid.map(issue => toDocumentPath(issue.path));
}

function findLineStarts(text: string): readonly number[] {
  const starts = [0];
  for (let index = text.indexOf('\n'); index !== -1;) {
    starts.push(index + 1);
    index = text.indexOf('\n', index + 1);
  }
  return starts;
}
