/** Faults of the store stand-in, one after another while others work. */

import {setTimeout as sleep} from 'node:timers/promises';
import fc from 'fast-check';
import type {StandInProcess} from './stand-in-process.js';

const anyCalls = fc.subarray(['range', 'transaction'], {minLength: 1});

const faults = fc.oneof(
  fc.constant({}),
  fc.constant({}),
  fc.record({down: fc.constantFrom('refused', 'held')}),
  fc.record({lostAnswers: fc.constantFrom(-1, 1, 2), lostCalls: anyCalls}),
  fc.record({delayMs: fc.integer({min: 20, max: 400}), delayedCalls: anyCalls}),
  fc.record({staleRevision: fc.integer({min: 1, max: 12})}),
  fc.record({
    lostAnswers: fc.constant(1),
    downAfterLostAnswer: fc.constantFrom('refused', 'held'),
  }),
);

const step = fc.record({faults, holdMs: fc.integer({min: 10, max: 150})});

/** Steps of one schedule, after which it begins anew. */
const SCHEDULE_LENGTH = 50;

/** Shows faults of a seed until `work` has ended, with pauses in which nothing is at fault. */
export async function workUnderFaults<Outcome>(
  store: StandInProcess,
  seed: number,
  work: () => Promise<Outcome>,
): Promise<Outcome> {
  let isOver = false;
  const result = work().finally(() => (isOver = true));
  const schedule = fc.sample(step, {numRuns: SCHEDULE_LENGTH, seed});
  for (let index = 0; !isOver; index++) {
    const {faults: current, holdMs} = schedule[index % schedule.length];
    await store.control('PUT', '/faults', current);
    await sleep(holdMs);
  }
  await store.control('PUT', '/faults', {});
  return result;
}

/** One write of the store's history. */
export interface HistoryWrite {
  readonly key: string;
  readonly value?: string;
}

/** The store's own history of writes, oldest first. */
export async function readHistory(
  store: StandInProcess,
): Promise<readonly HistoryWrite[]> {
  const text = await store.control('GET', '/history');
  const lines = text.split('\n').filter(line => line !== '');
  return lines.map(line => JSON.parse(line) as HistoryWrite);
}
