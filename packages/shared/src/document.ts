/** Parses JSON with comments, validates it against a schema and reports each finding with its line and column. */

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
import {removePaths, type Draft} from './draft.js';
import {FindingCollector, type Finding, type Place} from './finding.js';

/** Maximum nesting that is parsed; a deeper text could overflow the parser's stack. */
const MAXIMUM_DEPTH = 100;

/** Path of a value in a document: property names and array indexes. */
export type DocumentPath = ReadonlyArray<string | number>;

/** A check beyond the schema. It receives the valid parts of the document and adds to `findings`. */
export type DocumentCheck<Value> = (
  draft: Draft<Value>,
  source: DocumentSource,
  findings: FindingCollector,
) => void;

/** A parsed document that maps each path to its place in the text. */
export class DocumentSource {
  readonly #source: string;
  readonly #text: string;
  readonly #root: Node | undefined;
  readonly #lineStarts: readonly number[];
  readonly #syntaxErrors: ParseError[] = [];
  readonly #tooDeepOffset: number | undefined;

  /** @param source Name of the input, such as its file name, used in each `Place`. */
  constructor(source: string, text: string) {
    this.#source = source;
    this.#text = text;
    this.#lineStarts = findLineStarts(text);
    this.#tooDeepOffset = findTooDeepOffset(text);
    if (this.#tooDeepOffset === undefined) {
      this.#root = parseTree(text, this.#syntaxErrors, {
        allowTrailingComma: true,
        disallowComments: false,
      });
    }
  }

  /** The place of the value at `path`, or of its nearest existing ancestor. */
  toPlace(path: DocumentPath): Place {
    const node = this.#findNearestNode(path);
    return this.#toPlaceAtOffset(node?.offset ?? 0, formatPath(path));
  }

  /**
   * Validates the document against `schema`, then runs `check` on its valid
   * parts, so that one call reports every finding.
   * @param check Called with the parsed document, or with the valid parts of an invalid one.
   * @returns The typed value, or every finding, sorted by place.
   */
  parse<Schema extends z.ZodType>(
    schema: Schema,
    check?: DocumentCheck<z.infer<Schema>>,
  ): Result<z.infer<Schema>, readonly Finding[]> {
    const findings = new FindingCollector();
    this.#collectSyntaxErrors(findings);
    if (this.#root === undefined || findings.hasAny()) {
      return Err(this.#toFindingsOfUnparsed(findings));
    }
    this.#collectDuplicateProperties(this.#root, [], findings);
    const content: unknown = getNodeValue(this.#root);
    const parsed = schema.safeParse(content);
    if (!parsed.success) {
      this.#collectIssues(parsed.error.issues, findings);
    }
    const validContent = parsed.success
      ? parsed.data
      : removePaths(content, findInvalidPaths(parsed.error.issues));
    if (validContent !== undefined) {
      check?.(validContent as Draft<z.infer<Schema>>, this, findings);
    }
    if (findings.hasAny() || !parsed.success) {
      return Err(findings.toSorted());
    }
    return Ok(parsed.data);
  }

  #collectSyntaxErrors(findings: FindingCollector): void {
    if (this.#tooDeepOffset !== undefined) {
      const message = `Nested deeper than ${MAXIMUM_DEPTH} levels; flatten it.`;
      const place = this.#toPlaceAtOffset(this.#tooDeepOffset, '');
      findings.add({code: 'too-deep', message, place});
    }
    for (const error of this.#syntaxErrors) {
      const message = `Syntax error: ${printParseErrorCode(error.error)}.`;
      const place = this.#toPlaceAtOffset(error.offset, '');
      findings.add({code: 'syntax', message, place});
    }
  }

  #toFindingsOfUnparsed(findings: FindingCollector): readonly Finding[] {
    if (!findings.hasAny()) {
      const message = 'The document is empty.';
      findings.add({
        code: 'syntax',
        message,
        place: this.#toPlaceAtOffset(0, ''),
      });
    }
    return findings.toSorted();
  }

  #collectDuplicateProperties(
    node: Node,
    path: DocumentPath,
    findings: FindingCollector,
  ): void {
    const seenNames = new Set<string>();
    for (const [index, child] of (node.children ?? []).entries()) {
      const [key, value] = child.children ?? [];
      if (child.type !== 'property' || key === undefined) {
        this.#collectDuplicateProperties(child, [...path, index], findings);
        continue;
      }
      const name = String(key.value);
      if (seenNames.has(name)) {
        const message = `Property "${name}" stands twice; remove one.`;
        const place = this.#toPlaceAtOffset(
          key.offset,
          formatPath([...path, name]),
        );
        findings.add({code: 'duplicate-property', message, place});
      }
      seenNames.add(name);
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

  #findNearestNode(path: DocumentPath): Node | undefined {
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

  #toPlaceAtOffset(offset: number, path: string): Place {
    const boundedOffset = Math.min(offset, this.#text.length);
    const nextLineIndex = this.#lineStarts.findIndex(
      start => start > boundedOffset,
    );
    const line = nextLineIndex === -1 ? this.#lineStarts.length : nextLineIndex;
    const column = boundedOffset - this.#lineStarts[line - 1] + 1;
    return {source: this.#source, line, column, path};
  }
}

/** Formats a path as a JavaScript property access, such as `services[0].name`. */
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

/** Finds where a text is nested deeper than it may be, which could overflow a parser's stack; undefined if nowhere. */
export function findTooDeepOffset(text: string): number | undefined {
  const scanner = createScanner(text, true);
  let depth = 0;
  let token = scanner.scan();
  while (token !== SyntaxKind.EOF) {
    if (isOpeningToken(token)) {
      depth += 1;
    } else if (isClosingToken(token)) {
      depth -= 1;
    }
    if (depth > MAXIMUM_DEPTH) {
      return scanner.getTokenOffset();
    }
    token = scanner.scan();
  }
  return undefined;
}

function isOpeningToken(token: SyntaxKind): boolean {
  return (
    token === SyntaxKind.OpenBraceToken || token === SyntaxKind.OpenBracketToken
  );
}

function isClosingToken(token: SyntaxKind): boolean {
  return (
    token === SyntaxKind.CloseBraceToken ||
    token === SyntaxKind.CloseBracketToken
  );
}

function findInvalidPaths(
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
