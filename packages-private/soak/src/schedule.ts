/** What is done to the system, drawn from a seed: series of faults and planned work that overlap. */

import {SeededRandom} from '@wasabidyke/policy';

/** Everything that is drawn as part of a series; the subject's index counts entries or workers. */
export const ACTS = [
  'entry-kill',
  'entry-stop',
  'entry-pause',
  'entry-hang-up',
  'entry-store-cut',
  'entry-store-silent',
  'entry-store-slow',
  'entry-callers-reset',
  'store-busy',
  'store-silent',
  'store-slow',
  'store-lost',
  'store-compact',
  'worker-crash',
  'worker-replace',
  'worker-drain',
  'worker-vanish',
  'worker-slow',
  'worker-errors',
  'worker-truncates',
  'worker-hangs',
  'worker-link-silent',
  'worker-link-delay',
  'move-route',
] as const;

/** One kind of act. The others are no part of a series: a request that crashes workers, the loss of all entries at once, an entry that joins, one that stands still for long, workers that name a limit, entries that lose their links to workers, workers that ask for rest, one that says only in its answers that it leaves, bursts of configurations, the loss or a pause of an entry that reads the store, the replacement of an older build, odd records of other writers, announcements that are written after a departure, configurations beside kills of the entry that reads the store, a store that comes back from an older copy, a stop with two signals beside long orders, watches of the store that fall silent, workers that answer in tiny chunks without end, evacuations of zones, an account that exceeds its quota, orders that come late on their connections, and routes and limits that change in series, in bursts, beside kills of the entry that reads the store and beside faults that overlap. */
export type Act =
  | (typeof ACTS)[number]
  | 'crashing-request'
  | 'entries-kill'
  | 'entries-join'
  | 'entry-freeze'
  | 'workers-limit'
  | 'entries-cut'
  | 'workers-rest'
  | 'worker-says-leaving'
  | 'configuration-burst'
  | 'reader-kill'
  | 'reader-pause'
  | 'worker-repeats-refusal'
  | 'worker-cuts-head'
  | 'entries-upgrade'
  | 'odd-records'
  | 'late-announcement'
  | 'configurations-and-kills'
  | 'store-drill'
  | 'stop-beside-orders'
  | 'watches-silent'
  | 'worker-tiny-chunks'
  | 'zone-evacuate'
  | 'account-surge'
  | 'late-orders'
  | 'routes-change'
  | 'routes-burst'
  | 'routes-and-kills'
  | 'routes-and-faults';

/** One act of a run. */
export interface Step {
  readonly act: Act;
  /** After the start of traffic. */
  readonly atMs: number;
  readonly forMs: number;
  /** Which entry or worker, as a number that is taken modulo their count. */
  readonly subject: number;
}

/** Steps of one run; the rest of the time is calm. */
export interface Schedule {
  readonly seed: number;
  readonly lengthMs: number;
  readonly steps: readonly Step[];
}

/** Time without faults at the end, in milliseconds, in which all must be served again. */
export const CALM_MS = 8_000;

/** Mean time between series of acts, in milliseconds. */
const SERIES_GAP_MS = 1_400;
const LONGEST_SERIES = 3;
const SHORTEST_ACT_MS = 300;
const LONGEST_ACT_MS = 4_000;
const SUBJECTS = 1_000;

/** Requests of one run that crash each worker that begins to run them. */
const CRASHING_REQUESTS = 2;

/** How long the acts last that are no part of a series, in milliseconds: an entry stands still for longer than the lease of its announcement. */
const LONG_ACTS_MS: Partial<Record<Act, number>> = {
  'entry-freeze': 12_000,
  'workers-limit': 12_000,
  'entries-cut': 7_000,
  'workers-rest': 8_000,
  'worker-says-leaving': 8_000,
  'configuration-burst': 5_000,
  'reader-pause': 4_000,
  'worker-repeats-refusal': 6_000,
  'worker-cuts-head': 3_000,
  'odd-records': 11_000,
  'late-announcement': 6_000,
  'configurations-and-kills': 5_000,
  'store-drill': 3_500,
  'stop-beside-orders': 7_000,
  'worker-tiny-chunks': 2_000,
  'zone-evacuate': 9_000,
  'account-surge': 9_000,
  'late-orders': 6_000,
  'routes-change': 14_000,
  'routes-burst': 2_000,
  'routes-and-kills': 6_000,
  'routes-and-faults': 7_000,
};

/** Draws the steps of one run. @param acts Those to draw from. */
export function drawSchedule(
  seed: number,
  lengthMs: number,
  acts: readonly Act[] = ACTS,
): Schedule {
  const random = new SeededRandom(seed);
  const steps: Step[] = [];
  const lastMs = lengthMs - CALM_MS - LONGEST_ACT_MS;
  let atMs = SHORTEST_ACT_MS;
  while (atMs < lastMs) {
    const act = acts[random.nextBelow(acts.length)];
    const series = 1 + random.nextBelow(LONGEST_SERIES);
    for (let index = 0; index < series; index++) {
      const span = LONGEST_ACT_MS - SHORTEST_ACT_MS;
      const forMs = SHORTEST_ACT_MS + random.nextBelow(span);
      const subject = random.nextBelow(SUBJECTS);
      steps.push({act, atMs: Math.min(atMs, lastMs), forMs, subject});
      atMs += random.nextBelow(SHORTEST_ACT_MS);
    }
    atMs += random.nextBelow(2 * SERIES_GAP_MS);
  }
  return {seed, lengthMs, steps: [...steps, ...drawSingle(seed, lastMs)]};
}

/** Draws the acts of which a run has few with numbers of their own, so that they change nothing else that a seed stands for. */
function drawSingle(seed: number, lastMs: number): readonly Step[] {
  const endMs = lastMs + LONGEST_ACT_MS;
  const random = new SeededRandom(seed + SUBJECTS);
  const acts: Act[] = Array(CRASHING_REQUESTS).fill('crashing-request');
  const draw = (act: Act): Step => {
    const forMs = Math.min(LONG_ACTS_MS[act] ?? 0, endMs);
    const latestMs = forMs === 0 ? lastMs : Math.max(1, endMs - forMs);
    return {
      act,
      atMs: random.nextBelow(latestMs),
      forMs,
      subject: random.nextBelow(SUBJECTS),
    };
  };
  const others: Act[] = [
    'entries-kill',
    'entries-join',
    'entry-freeze',
    'workers-limit',
    // Later kinds come last, so that those before stay what a seed stands for.
    'entries-cut',
    'entries-cut',
    'workers-rest',
    'worker-says-leaving',
    'configuration-burst',
    'configuration-burst',
    'reader-kill',
    'reader-pause',
    'worker-repeats-refusal',
    'worker-cuts-head',
    'entries-upgrade',
    'odd-records',
    'late-announcement',
    'late-announcement',
    'configurations-and-kills',
    'store-drill',
    'stop-beside-orders',
    'watches-silent',
    'watches-silent',
    'worker-tiny-chunks',
    'worker-tiny-chunks',
    'zone-evacuate',
  ];
  const drawn = [...acts, ...others].map(draw);
  // What entries have missed in the last one, nothing that follows tells them.
  const last = draw('store-drill');
  const callers: Act[] = [
    'account-surge',
    'account-surge',
    'late-orders',
    'late-orders',
  ];
  const routes: Act[] = [
    'routes-change',
    'routes-change',
    'routes-burst',
    'routes-burst',
    'routes-and-kills',
  ];
  const lastChange = draw('routes-burst');
  return [
    ...drawn,
    {...last, atMs: Math.max(1, endMs - last.forMs)},
    ...callers.map(draw),
    ...routes.map(draw),
    // It ends before the drill that is the last act, and what it leaves is in force in the calm.
    {...lastChange, atMs: Math.max(1, endMs - 2 * lastChange.forMs)},
    draw('routes-and-faults'),
  ];
}
