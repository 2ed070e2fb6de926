/** Acts in which routes come, go and come back, and limits change. */

import {setTimeout as sleep} from 'node:timers/promises';
import {SeededRandom} from '@wasabidyke/policy';
import {actOnReader} from './acts-on-builds.js';
import type {Site} from './acts.js';
import {nowMs} from './history.js';
import type {Act, Step} from './schedule.js';

/** Longest time between two configurations of a series, and time between those of a burst, in milliseconds: those of a series may be in force long enough to bind. */
const LONGEST_SERIES_GAP_MS = 3_500;
const BURST_GAP_MS = 70;

/** Faults beside changes, how long they last, and the longest time from one to the next, in milliseconds. */
const FAULTS: readonly Act[] = [
  'entry-kill',
  'entry-pause',
  'entry-store-cut',
  'entry-store-slow',
  'entry-callers-reset',
  'store-slow',
  'store-busy',
  'store-lost',
  'store-compact',
  'watches-silent',
];
const FAULT_MS = 900;
const LONGEST_FAULT_GAP_MS = 800;

/** Writes one configuration after the other until the time is over; in some the entry that reads the store is killed at the same time. */
export async function changeRoutes(site: Site, step: Step): Promise<void> {
  const random = new SeededRandom(step.subject);
  const endMs = nowMs() + step.forMs;
  while (nowMs() < endMs) {
    site.operator.changeRoutes(random);
    if (step.act === 'routes-and-kills') {
      await actOnReader(site, {...step, act: 'reader-kill'});
    }
    const gapMs =
      step.act === 'routes-burst'
        ? BURST_GAP_MS
        : 1 + random.nextBelow(LONGEST_SERIES_GAP_MS);
    await sleep(Math.min(gapMs, Math.max(1, endMs - nowMs())));
  }
}

/** Writes configurations, each at the same time as a fault; faults may overlap. @param act Does one step. */
export async function changeBesideFaults(
  site: Site,
  {forMs, subject}: Step,
  act: (site: Site, step: Step) => Promise<void>,
): Promise<void> {
  const random = new SeededRandom(subject);
  const lastMs = nowMs() + forMs - FAULT_MS - LONGEST_FAULT_GAP_MS;
  const faults: Array<Promise<void>> = [];
  while (nowMs() < lastMs) {
    site.operator.changeRoutes(random);
    const fault = FAULTS[random.nextBelow(FAULTS.length)];
    faults.push(
      act(site, {
        act: fault,
        atMs: 0,
        forMs: FAULT_MS,
        subject: subject + faults.length,
      }),
    );
    await sleep(1 + random.nextBelow(LONGEST_FAULT_GAP_MS));
  }
  await Promise.all(faults);
}
