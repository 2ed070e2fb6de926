/** Whether callers are sent to entries that are off, judged from the lists that they got. */

import type {History} from './history.js';

/** Time after which no list may name an entry that is off, in milliseconds. Source: the rules of the users' platform complain from there on. */
const LISTED_LIMIT_MS = 6_000;

/** An entry that was disturbed may be behind for this long, in milliseconds. Source: `stable_window`. */
const CATCH_UP_MS = 3_000;

/** Lists that name an entry that has stood still for long. Only lists of entries that ran undisturbed count, but for their link to the store. */
export function checkListed(history: History): string[] {
  return history.absences.flatMap(({entry, fromMs, toMs}) =>
    history.lists
      .filter(({addresses}) => addresses.includes(entry))
      .filter(({atMs}) => atMs > fromMs + LISTED_LIMIT_MS && atMs < toMs)
      .filter(({entry: answering, atMs}) => ran(history, answering, atMs))
      .map(
        list =>
          `${list.entry} named ${entry}, ${Math.round(list.atMs - fromMs)} ms after it stood still`,
      ),
  );
}

/** Whether an entry ran undisturbed for a while. */
function ran(
  {disturbances}: History,
  subject: string,
  untilMs: number,
): boolean {
  return !disturbances.some(
    other =>
      other.subject === subject &&
      !other.what.startsWith('entry-store') &&
      other.fromMs < untilMs &&
      other.toMs > untilMs - CATCH_UP_MS,
  );
}
