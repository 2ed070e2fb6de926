/** A process that holds a numbered slot and prints readings of it as JSON lines. */

import {fileURLToPath} from 'node:url';
import {EtcdStore, NumberedLease, type HeldSlot} from '@wasabidyke/store';
import {MetricRegistry, SystemClock} from '@wasabidyke/shared';
import {KEY_PREFIX, RecordingReporter} from './store-context.js';

const NANOSECONDS_PER_MILLISECOND = 1e6;
const READING_MS = 20;
const STEP_MS = 200;
const MARGIN_MS = 200;
const CALL_TIMEOUT_MS = 1_000;

/** One reading of a slot. */
export interface SlotReading {
  /** Taken just before the reading, on the machine's monotonic clock, which all processes share. */
  readonly atMs: number;
  /** The slot that is held; null for none. */
  readonly slot: HeldSlot | null;
}

/** File of this process's program. */
export const SLOT_HOLDER_FILE = fileURLToPath(import.meta.url);

if (process.argv[1] === SLOT_HOLDER_FILE) {
  const [, , origin, holder, count, timeToLiveSeconds] = process.argv;
  holdSlot(origin, holder, Number(count), Number(timeToLiveSeconds));
}

function holdSlot(
  origin: string,
  holder: string,
  count: number,
  timeToLiveSeconds: number,
): void {
  const clock = new SystemClock();
  const metrics = new MetricRegistry();
  const store = new EtcdStore({
    endpoints: [origin],
    prefix: KEY_PREFIX,
    callTimeoutMs: CALL_TIMEOUT_MS,
    callsPerSecond: 100,
    metrics,
    clock,
  });
  const lease = new NumberedLease({
    store,
    clock,
    name: 'slots',
    holder,
    timeToLiveSeconds,
    marginMs: MARGIN_MS,
    stepMs: STEP_MS,
    settleMs: 0,
    metrics,
    reporter: new RecordingReporter(),
  });
  lease.setCount({count, isSettled: true});
  lease.start();
  setInterval(() => {
    const atMs = Number(process.hrtime.bigint()) / NANOSECONDS_PER_MILLISECOND;
    const reading = {atMs, slot: lease.held(clock.now()) ?? null};
    process.stdout.write(`${JSON.stringify(reading)}\n`);
  }, READING_MS);
}
