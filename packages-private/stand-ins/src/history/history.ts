/** The whole history of a run, merged from the files of its processes. */

import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import {
  historyEventSchema,
  type HistoryEvent,
  type HistoryEventKind,
  type HistoryEventOf,
} from './events.js';

/** All events of a run in the order of their times. */
export class History {
  readonly events: readonly HistoryEvent[];
  readonly #byKind = new Map<HistoryEventKind, HistoryEvent[]>();

  constructor(events: readonly HistoryEvent[]) {
    this.events = events.toSorted((left, right) => left.atMs - right.atMs);
    for (const event of this.events) {
      const same = this.#byKind.get(event.kind) ?? [];
      same.push(event);
      this.#byKind.set(event.kind, same);
    }
  }

  /** The events of one kind. */
  of<Kind extends HistoryEventKind>(
    kind: Kind,
  ): ReadonlyArray<HistoryEventOf<Kind>> {
    const events = this.#byKind.get(kind) ?? [];
    return events as Array<HistoryEventOf<Kind>>;
  }
}

/**
 * Reads all `*.jsonl` files of a directory.
 * @throws When a line is not an event, other than the last one of a file, which a kill may have cut.
 */
export function readHistory(directory: string): History {
  const files = readdirSync(directory).filter(file => file.endsWith('.jsonl'));
  return new History(files.flatMap(file => readEvents(join(directory, file))));
}

function readEvents(file: string): readonly HistoryEvent[] {
  const lines = readFileSync(file, 'utf8').split('\n');
  lines.pop();
  return lines.map(line => historyEventSchema.parse(JSON.parse(line)));
}

/** Groups items by a name. */
export function groupBy<Item>(
  items: readonly Item[],
  toName: (item: Item) => string,
): ReadonlyMap<string, readonly Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const name = toName(item);
    const group = groups.get(name) ?? [];
    group.push(item);
    groups.set(name, group);
  }
  return groups;
}
