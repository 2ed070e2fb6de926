/** Cuts the links of some entries to some workers, which other entries go on using. */

import type {LinkCut, LinkState} from '@wasabidyke/stand-ins';
import type {EntryProcess} from './entry-process.js';
import {EntrySockets} from './entry-sockets.js';
import {nowMs, type History} from './history.js';
import type {Step} from './schedule.js';
import type {WorkerSlot} from './worker-slot.js';

/** What is cut, and where. */
export interface CutSite {
  readonly entries: readonly EntryProcess[];
  readonly workers: readonly WorkerSlot[];
  readonly history: History;
}

/** How links are cut. */
const MODES: ReadonlyArray<LinkState['mode']> = [
  'silent',
  'half-open',
  'reset',
  'refusing',
];

/** One cut in so many is of half of the workers only. */
const PARTIAL_ONE_IN = 4;

/** Cuts the links of one entry, most or all of them for the time of a step. */
export async function cutEntries(site: CutSite, step: Step): Promise<void> {
  const {entries, workers, history} = site;
  const {subject, forMs} = step;
  const mode = MODES[subject % MODES.length];
  const count = 1 + (Math.floor(subject / MODES.length) % entries.length);
  const isPartial = subject % (MODES.length * PARTIAL_ONE_IN) < MODES.length;
  const cutOff = Array.from(
    {length: count},
    (_, index) => entries[(subject + index) % entries.length],
  );
  const slots = isPartial
    ? workers.filter((_, index) => index % PARTIAL_ONE_IN < 2)
    : workers;
  const sockets = new EntrySockets(() => entries);
  sockets.refresh();
  const cuts = cutOff.map(entry => new EntryCut(entry, mode, sockets));
  const fromMs = nowMs();
  for (const {address} of cutOff) {
    history.cuts.push({
      entry: address,
      isPartial,
      fromMs,
      toMs: fromMs + forMs,
    });
  }
  slots.forEach(({link}) => cuts.forEach(cut => link.addCut(cut)));
  await new Promise(resolve => setTimeout(resolve, forMs));
  slots.forEach(({link}) => cuts.forEach(cut => link.removeCut(cut)));
}

/** The connections of one entry, also those of its processes that start later. */
class EntryCut implements LinkCut {
  readonly mode: LinkState['mode'];
  readonly #entry: EntryProcess;
  readonly #sockets: EntrySockets;

  constructor(
    entry: EntryProcess,
    mode: LinkState['mode'],
    sockets: EntrySockets,
  ) {
    this.#entry = entry;
    this.mode = mode;
    this.#sockets = sockets;
  }

  async onConnection(callerPort: number): Promise<void> {
    if (this.#sockets.ownerOf(callerPort) === undefined) {
      await this.#sockets.refreshSoon();
    }
  }

  affects(callerPort: number): boolean {
    return this.#sockets.ownerOf(callerPort) === this.#entry;
  }
}
