/** Acts of other writers in the store: odd records, and announcements that are written late. */

import {setTimeout as sleep} from 'node:timers/promises';
import type {Site} from './acts.js';
import {actOnReader, changeOften} from './acts-on-builds.js';
import {
  ODD_ENTRY_RECORDS,
  ODD_WORKER_RECORDS,
  toEntryRecord,
  toWorkerRecord,
} from './odd-records.js';
import type {Step} from './schedule.js';

/** Time between two odd records, in milliseconds: some are read together, some alone. */
const ODD_GAP_MS = 400;

/** Time between kills of the entry that reads the store, in milliseconds: another one reads it by then. */
const READER_KILL_GAP_MS = 1_500;

/** Leaves one odd record after the other, of workers and of entries, and removes them at the end. */
export async function leaveOddRecords(
  {store}: Site,
  {forMs, subject}: Step,
): Promise<void> {
  const odd = [
    ...Object.values(ODD_WORKER_RECORDS).map(change => ({
      prefix: 'servers/',
      record: change(toWorkerRecord()),
    })),
    ...Object.values(ODD_ENTRY_RECORDS).map(change => ({
      prefix: 'entries/',
      record: change(toEntryRecord('odd')),
    })),
  ];
  const keys: string[] = [];
  for (let leftMs = forMs; leftMs > 0; leftMs -= ODD_GAP_MS) {
    const {prefix, record} = odd[(subject + keys.length) % odd.length];
    const key = prefix === 'entries/' ? `${prefix}odd` : prefix + keys.length;
    store.set(key, record);
    keys.push(key);
    await sleep(Math.min(ODD_GAP_MS, leftMs));
  }
  keys.forEach(key => store.set(key, undefined));
}

/** Has a worker leave, and an older announcement of it be written after its departure. */
export async function announceLate(
  {workers}: Site,
  {subject}: Step,
): Promise<void> {
  const slot = workers[subject % workers.length];
  if (!slot.isBusy) {
    await slot.leaveAnnouncedLate();
  }
}

/** Evacuates the zone of a worker until the time is over. */
export async function evacuateZone(
  {entries, program, operator, workers}: Site,
  {forMs, subject}: Step,
): Promise<void> {
  if (entries.some(entry => entry.program !== program)) {
    // Older builds know nothing of evacuations.
    return;
  }
  const {worker} = workers[subject % workers.length];
  const takeBack = operator.evacuateZoneOf(worker.id);
  await sleep(forMs);
  takeBack();
}

/** Writes configurations in quick succession, and kills the entry that reads the store again and again. */
export async function changeBesideKills(site: Site, step: Step): Promise<void> {
  const changes = changeOften(site, step);
  for (let leftMs = step.forMs; leftMs > 0; leftMs -= READER_KILL_GAP_MS) {
    await actOnReader(site, {...step, act: 'reader-kill'});
    await sleep(Math.min(READER_KILL_GAP_MS, leftMs));
  }
  await changes;
}
