/** Substitute for `Map.groupBy`, which Node.js 20 does not provide. */

/** Groups items by key; keys are in the order of their first item. */
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
