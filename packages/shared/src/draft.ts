/** Removes the invalid parts of a document, so that further checks can run on its valid parts. */

import type {DocumentPath} from './document.js';

/**
 * A value of which any part may be missing. An invalid property is present
 * with the value undefined; a property that the document omits is absent.
 */
export type Draft<Value> =
  Value extends ReadonlyArray<infer Item>
    ? ReadonlyArray<Draft<Item> | undefined>
    : Value extends object
      ? {readonly [Name in keyof Value]?: Draft<Value[Name]>}
      : Value;

type Container = Record<string | number, unknown>;

/**
 * Sets the values at `paths` in `content` to undefined, in place. Array items
 * are not deleted, so that the indexes of the others stay the same.
 * @returns `content`, or undefined when the root itself is among `paths`.
 */
export function removePaths(
  content: unknown,
  paths: readonly DocumentPath[],
): unknown {
  for (const path of paths) {
    if (path.length === 0) {
      return undefined;
    }
    const parent = findContainer(content, path.slice(0, -1));
    const last = path[path.length - 1];
    if (parent !== undefined && Object.hasOwn(parent, last)) {
      parent[last] = undefined;
    }
  }
  return content;
}

function findContainer(
  content: unknown,
  path: DocumentPath,
): Container | undefined {
  let current = content;
  for (const part of path) {
    if (!isContainer(current) || !Object.hasOwn(current, part)) {
      return undefined;
    }
    current = current[part];
  }
  return isContainer(current) ? current : undefined;
}

function isContainer(value: unknown): value is Container {
  return typeof value === 'object' && value !== null;
}
