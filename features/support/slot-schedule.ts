/** Schedules of what may happen to holders of numbered slots: counts that change and arrive late, steps, pauses. */

import {EmbeddedStore, NumberedLease} from '@wasabidyke/store';
import {ManualClock, MetricRegistry} from '@wasabidyke/shared';
import fc from 'fast-check';
import {RecordingReporter} from './store-context.js';

const HOLDERS = 6;
const MAXIMUM_SLOTS = 8;
const TIME_TO_LIVE_SECONDS = 10;

const holderIndex = fc.nat({max: HOLDERS - 1});

const event = fc.oneof(
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('change' as const),
      count: fc.integer({min: 1, max: MAXIMUM_SLOTS}),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constantFrom('tell' as const, 'step' as const),
      holder: holderIndex,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('pass' as const),
      milliseconds: fc.nat({max: 4_000}),
    }),
  },
);

type SlotEvent = typeof event extends fc.Arbitrary<infer Event> ? Event : never;

/** One schedule. */
export type SlotSchedule = readonly SlotEvent[];

/** The first `count` schedules of a seed. */
export function sampleSlotSchedules(
  count: number,
  seed: number,
): readonly SlotSchedule[] {
  const schedule = fc.array(event, {minLength: 60, maxLength: 120});
  return fc.sample(schedule, {numRuns: count, seed});
}

/** Runs a schedule and returns the largest sum of the shares of all holders after any event. */
export async function runSlotSchedule(schedule: SlotSchedule): Promise<number> {
  const clock = new ManualClock();
  const store = new EmbeddedStore(clock);
  const holders = Array.from({length: HOLDERS}, (_, index) =>
    createHolder(store, clock, `holder-${index}`),
  );
  let count = HOLDERS;
  const told = new Set<NumberedLease>();
  let largest = 0;
  for (const current of schedule) {
    if (current.kind === 'change') {
      told.clear();
      count = current.count;
    } else if (current.kind === 'pass') {
      clock.advance(current.milliseconds);
    } else if (current.kind === 'step') {
      await holders[current.holder].step();
    } else {
      const holder = holders[current.holder];
      told.add(holder);
      holder.setCount({count, isSettled: told.size === HOLDERS});
    }
    largest = Math.max(largest, sumShares(holders, clock.now()));
  }
  return largest;
}

function sumShares(holders: readonly NumberedLease[], nowMs: number): number {
  const shares = holders.map(holder => holder.held(nowMs)?.shares);
  return shares.reduce<number>(
    (sum, share) => sum + (share === undefined ? 0 : 1 / share),
    0,
  );
}

function createHolder(
  store: EmbeddedStore,
  clock: ManualClock,
  holder: string,
): NumberedLease {
  const lease = new NumberedLease({
    store,
    clock,
    name: 'slots',
    holder,
    timeToLiveSeconds: TIME_TO_LIVE_SECONDS,
    marginMs: 500,
    stepMs: 1_000,
    settleMs: 0,
    metrics: new MetricRegistry(),
    reporter: new RecordingReporter(),
  });
  lease.setCount({count: HOLDERS, isSettled: true});
  return lease;
}
