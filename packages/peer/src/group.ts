/** Grouping of items; later releases of the language bring this with `Map.groupBy`. */

/** Groups items by a key, in the order of first appearance. */
export function groupBy<Item>(
  items: readonly Item[],
  toKey: (item: Item) => string,
): ReadonlyMap<string, readonly Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const key = toKey(item);
    const group = groups.get(key);
    if (group === undefined) {
      groups.set(key, [item]);
    } else {
      group.push(item);
    }
  }
  return groups;
}
