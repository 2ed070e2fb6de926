/** What remains of a document when its invalid parts are taken out, so that further checks still see the rest. */

import type {DocumentPath} from './document.js';

/**
 * A value of which any part may be absent. A property that was invalid is
 * there with the value undefined; one that was not stated is not there.
 */
export type Draft<Value> =
  Value extends ReadonlyArray<infer Item>
    ? ReadonlyArray<Draft<Item> | undefined>
    : Value extends object
      ? {readonly [Name in keyof Value]?: Draft<Value[Name]>}
      : Value;

type Container = Record<string | number, unknown>;

/**
 * Takes the parts at `paths` out of `content`, in place. Items of arrays leave
 * a hole, so that the indexes of the others stay.
 * @returns undefined when nothing remains.
 */
export function takeOut(
  content: unknown,
  paths: readonly DocumentPath[],
): unknown {
  for (const path of paths) {
    if (path.length === 0) {
      return undefined;
    }
    const parent = findOwn(content, path.slice(0, -1));
    const last = path[path.length - 1];
    if (parent !== undefined && Object.hasOwn(parent, last)) {
      parent[last] = undefined;
    }
  }
  return content;
}

function findOwn(content: unknown, path: DocumentPath): Container | undefined {
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
