/** Loads of requests of several priorities, and of several client accounts, by name. */

import type {SimulatedKind} from './overload-upstream.js';

const SECOND_MS = 1_000;

/** Kinds of requests: alone, 0.99 of the most urgent are answered in time at a fifth of the capacity. */
export const URGENT = {
  name: 'urgent',
  priority: 0,
  workMs: 80,
  targetMs: 400,
  deadlineMs: 1_200,
  value: 5,
};
const USUAL = {
  name: 'usual',
  priority: 1,
  workMs: 100,
  targetMs: 400,
  deadlineMs: 2_000,
  value: 1,
};
const BATCH = {
  name: 'batch',
  priority: 2,
  workMs: 90,
  targetMs: 400,
  deadlineMs: 2_000,
  value: 0.3,
};
const HEAVY = {
  name: 'heavy',
  priority: 1,
  workMs: 4_000,
  targetMs: 12_000,
  deadlineMs: 20_000,
  value: 1,
};

/** Requests of ten accounts of each priority. */
const ACCOUNT_KINDS: readonly SimulatedKind[] = [
  {...URGENT, share: 0.3, accounts: 10},
  {...USUAL, share: 0.7, accounts: 10},
];

/** Kinds of a service whose upstreams rejected 55 of 100 requests for 8 s although they reported free slots. */
const REJECTED_KINDS: readonly SimulatedKind[] = [
  {...USUAL, name: URGENT.name, share: 0.45, workMs: 140, targetMs: 408},
  {...BATCH, share: 0.55, workMs: 100, targetMs: 303},
];

/** When one account sends more: entries have known it for 40 s. */
export const SURGE_FROM_MS = 40 * SECOND_MS;
export const SURGE_UNTIL_MS = 47 * SECOND_MS;

/** What is asked for: the kinds, and how much of what the upstreams can run at a time in milliseconds. */
export interface Load {
  /** How often a caller comes back after a refusal; once if undefined. */
  readonly callerRetries?: number;
  /** Part of the requests that upstreams reject although they have room. */
  readonly rejectedShare?: (atMs: number) => number;
  /** How often the first account of the last kind sends its usual in addition, at a time in milliseconds. */
  readonly extra?: (atMs: number) => number;

  readonly kinds: readonly SimulatedKind[];
  readonly factor: (atMs: number) => number;
}

function toKinds(
  urgent: number,
  usual: number,
  batch: number,
): SimulatedKind[] {
  return [
    {...URGENT, share: urgent},
    {...USUAL, share: usual},
    {...BATCH, share: batch},
  ];
}

/** Loads by name. */
export const LOADS = new Map<string, Load>([
  [
    'too much of all priorities',
    {kinds: toKinds(0.25, 0.35, 0.4), factor: () => 1.5},
  ],
  [
    'too much of the least urgent',
    {kinds: toKinds(0.15, 0.2, 0.65), factor: () => 1.8},
  ],
  [
    'too much of the most urgent',
    {kinds: toKinds(0.7, 0.2, 0.1), factor: () => 1.8},
  ],
  [
    'a burst of 2.4 times for 7 s',
    {
      kinds: toKinds(0.25, 0.35, 0.4),
      factor: atMs => (atMs >= 3_000 && atMs < 10_000 ? 2.4 * 0.7 : 0.7),
    },
  ],
  [
    'work of 4 s beside work of 0.1 s',
    {
      kinds: [
        {...URGENT, share: 0.3},
        {...USUAL, share: 0.66},
        {...HEAVY, share: 0.04},
      ],
      factor: () => 1.3,
    },
  ],
  [
    'one account at seven times its usual',
    {
      kinds: ACCOUNT_KINDS,
      factor: () => 0.75,
      extra: atMs => (atMs >= SURGE_FROM_MS && atMs < SURGE_UNTIL_MS ? 6 : 0),
    },
  ],
  [
    'a rejection of half of what is sent',
    {
      kinds: REJECTED_KINDS,
      factor: () => 0.5,
      rejectedShare: atMs => (atMs >= 3_000 ? 0.55 : 0),
    },
  ],
  [
    'too much of all priorities, with four returns after a refusal,',
    {
      kinds: toKinds(0.25, 0.35, 0.4),
      factor: () => 1.5,
      callerRetries: 4,
    },
  ],
  ['every account at its usual', {kinds: ACCOUNT_KINDS, factor: () => 0.75}],
  [
    '0.6 of what upstreams can run',
    {kinds: toKinds(0.25, 0.35, 0.4), factor: () => 0.6},
  ],
]);
