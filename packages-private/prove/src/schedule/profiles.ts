/** What a schedule for each promise draws from. */

import type {PromiseName} from '@wasabidyke/stand-ins';
import type {FaultName} from '../faults/index.js';
import type {PlannedFault} from './schedule.js';

/** What a schedule draws from. */
export interface Profile {
  readonly durationMs: number;
  /** Requests a second of each of the callers. */
  readonly requestsPerSecond: number;
  /** Time before which all faults begin. */
  readonly faultsUntilMs: number;
  /** Faults that every schedule has just so. */
  readonly directed: readonly PlannedFault[];
  /** Faults that every schedule has once, in this order. */
  readonly always: readonly FaultName[];
  /** Faults that are drawn from. */
  readonly pool: readonly FaultName[];
  readonly minimumDrawn: number;
  readonly maximumDrawn: number;
  /** Requests that crash the workers which run them. */
  readonly poisonous: number;
  /** Shares of lookups and orders, in per cent; the rest are uploads. */
  readonly lookups: number;
  readonly orders: number;
}

const BASE = {
  durationMs: 8_000,
  requestsPerSecond: 20,
  faultsUntilMs: 6_000,
  directed: [],
  always: [],
  minimumDrawn: 2,
  maximumDrawn: 4,
  poisonous: 0,
  lookups: 40,
  orders: 45,
} as const;

const WORKER_FAULTS = [
  'kill-worker',
  'freeze-worker',
  'straggling-worker',
  'failing-worker',
  'shedding-worker',
  'hanging-worker',
  'cutting-worker',
  'late-worker',
  'lying-worker',
] as const satisfies readonly FaultName[];

const LINK_FAULTS = [
  'reset-link',
  'silent-link',
  'half-open-link',
  'slow-link',
] as const satisfies readonly FaultName[];

const PLATFORM_FAULTS = [
  'store-down',
  'store-held',
  'store-slow',
  'store-loses-answers',
  'store-stale',
  'leases-lapse',
  'vm-list-lags',
  'vm-list-down',
  'cut-store-from-entry',
] as const satisfies readonly FaultName[];

const ENTRY_FAULTS = [
  'kill-entry',
  'freeze-entry',
  'stop-entry',
] as const satisfies readonly FaultName[];

/**
 * A worker of the north says that it leaves. Later both workers of the south
 * die, so that its entry turns to the north, where it asked for nothing before.
 */
const DEPARTURE_FAR_AWAY: readonly PlannedFault[] = [
  {name: 'leave-by-signal', target: 'shop-1', atMs: 1_000, lengthMs: 0},
  {name: 'kill-worker', target: 'shop-3', atMs: 5_500, lengthMs: 3_500},
  {name: 'kill-worker', target: 'shop-4', atMs: 5_500, lengthMs: 3_500},
];

/** The profile of each promise. */
export const PROFILES: Readonly<Record<PromiseName, Profile>> = {
  'at-most-once': {
    ...BASE,
    directed: [
      {name: 'cutting-worker', target: 'shop-2', atMs: 500, lengthMs: 3_000},
    ],
    always: ['freeze-entry', 'reset-link'],
    pool: [...ENTRY_FAULTS, ...WORKER_FAULTS, ...LINK_FAULTS, 'store-down'],
    lookups: 10,
    orders: 85,
  },
  'not-run': {
    ...BASE,
    always: ['cutting-worker', 'shedding-worker'],
    pool: [...WORKER_FAULTS, ...LINK_FAULTS, 'stop-entry'],
  },
  'whole-answer': {
    ...BASE,
    always: ['cutting-worker', 'late-worker'],
    pool: [...WORKER_FAULTS, ...LINK_FAULTS],
    lookups: 70,
    orders: 20,
  },
  'leaving-upstream': {
    ...BASE,
    durationMs: 10_000,
    faultsUntilMs: 4_000,
    directed: DEPARTURE_FAR_AWAY,
    always: ['leave-by-manifest', 'leave-by-vm-list'],
    pool: ['store-down', 'freeze-entry', 'cut-store-from-entry'],
    minimumDrawn: 1,
    maximumDrawn: 2,
  },
  'planned-stop': {
    ...BASE,
    faultsUntilMs: 2_000,
    requestsPerSecond: 50,
    always: ['stop-entry', 'stop-worker'],
    pool: ['store-down', 'straggling-worker', 'slow-link', 'vm-list-lags'],
    minimumDrawn: 0,
    maximumDrawn: 1,
    lookups: 40,
    orders: 20,
  },
  manifest: {
    ...BASE,
    durationMs: 10_000,
    requestsPerSecond: 5,
    always: ['operators-race', 'store-restored', 'store-loses-answers'],
    pool: [...PLATFORM_FAULTS, ...ENTRY_FAULTS, 'operators-race'],
  },
  'load-watch': {
    ...BASE,
    durationMs: 12_000,
    faultsUntilMs: 4_000,
    requestsPerSecond: 5,
    always: ['budget-cut'],
    pool: ['budget-raise', 'freeze-entry', 'kill-entry', 'leases-lapse'],
    minimumDrawn: 1,
    maximumDrawn: 2,
  },
  poison: {
    ...BASE,
    pool: ['freeze-entry', 'slow-link', 'kill-worker', 'reset-link'],
    minimumDrawn: 1,
    maximumDrawn: 3,
    poisonous: 1,
  },
};

/** Draws from everything. */
export const PROFILE_OF_ALL: Profile = {
  ...BASE,
  durationMs: 15_000,
  faultsUntilMs: 12_000,
  pool: [
    ...ENTRY_FAULTS,
    ...WORKER_FAULTS,
    ...LINK_FAULTS,
    ...PLATFORM_FAULTS,
    'operators-race',
    'budget-cut',
    'budget-raise',
    'leave-by-manifest',
    'leave-by-vm-list',
    'leave-by-signal',
    'stop-worker',
  ],
  minimumDrawn: 6,
  maximumDrawn: 12,
  poisonous: 1,
};
