/** All that can be done to a site, by name. */

import type {Fault} from './fault.js';
import {
  LeaveByVmListAct,
  markLeaving,
  RaceAct,
  scaleBudget,
  SubmitAct,
} from './operator-acts.js';
import {
  LapseFault,
  RestoreFault,
  StaleReadFault,
  StoreFault,
  VmListFault,
} from './platform-faults.js';
import {FreezeFault, KillFault, StopFault} from './process-faults.js';
import {LinkFault, WorkerFault} from './worker-faults.js';

export type {Fault, FaultContext, TargetKind} from './fault.js';

const STRAGGLER_FACTOR = 40;
const LATE_MS = 800;
const LINK_DELAY_MS = 150;
const STORE_DELAY_MS = 1_500;
const VM_LIST_LAG_MS = 3_000;
const LOST_ANSWERS = 2;
const BUDGET_CUT = 0.5;
const BUDGET_RAISE = 2;

/** All that can be done to a site. */
export const FAULTS = {
  'kill-entry': new KillFault('entry'),
  'freeze-entry': new FreezeFault('entry'),
  'stop-entry': new StopFault('entry'),
  'cut-store-from-entry': new LinkFault('cut-store', 'entry', {
    mode: 'silent',
  }),
  'kill-worker': new KillFault('worker'),
  'freeze-worker': new FreezeFault('worker'),
  'stop-worker': new StopFault('worker'),
  'straggling-worker': new WorkerFault(
    'straggler',
    {slowFactor: STRAGGLER_FACTOR},
    {slowFactor: 1},
  ),
  'failing-worker': new WorkerFault(
    'fail-fast',
    {failFast: true},
    {failFast: false},
  ),
  'shedding-worker': new WorkerFault('shed', {shed: true}, {shed: false}),
  'hanging-worker': new WorkerFault('hang', {hang: true}, {hang: false}),
  'cutting-worker': new WorkerFault(
    'cut-answers',
    {cutHalfway: true},
    {cutHalfway: false},
  ),
  'late-worker': new WorkerFault(
    'late-answers',
    {answerLateMs: LATE_MS},
    {answerLateMs: 0},
  ),
  'lying-worker': new WorkerFault(
    'lie',
    {liedRequestsInFlight: 0},
    {liedRequestsInFlight: null},
  ),
  'reset-link': new LinkFault('reset-link', 'worker', {mode: 'reset'}),
  'silent-link': new LinkFault('silent-link', 'worker', {mode: 'silent'}),
  'half-open-link': new LinkFault('half-open-link', 'worker', {
    mode: 'half-open',
  }),
  'slow-link': new LinkFault('slow-link', 'worker', {delayMs: LINK_DELAY_MS}),
  'store-down': new StoreFault('store-down', {down: 'refused'}, {down: 'no'}),
  'store-held': new StoreFault('store-held', {down: 'held'}, {down: 'no'}),
  'store-slow': new StoreFault(
    'store-slow',
    {delayMs: STORE_DELAY_MS},
    {delayMs: 0},
  ),
  'store-loses-answers': new StoreFault(
    'store-loses-answers',
    {lostAnswers: LOST_ANSWERS},
    {lostAnswers: 0},
  ),
  'store-stale': new StaleReadFault('store-stale'),
  'store-restored': new RestoreFault('store-restored'),
  'leases-lapse': new LapseFault('leases-lapse'),
  'vm-list-lags': new VmListFault('vm-list-lags', {lagMs: VM_LIST_LAG_MS}),
  'vm-list-down': new VmListFault('vm-list-down', {isDown: true}),
  'operators-race': new RaceAct(),
  'budget-cut': new SubmitAct('site', scaleBudget(BUDGET_CUT)),
  'budget-raise': new SubmitAct('site', scaleBudget(BUDGET_RAISE)),
  'leave-by-manifest': new SubmitAct('worker', markLeaving),
  'leave-by-vm-list': new LeaveByVmListAct(),
  'leave-by-signal': new WorkerFault(
    'leave-signal',
    {leaving: true},
    {leaving: true},
  ),
} as const satisfies Record<string, Fault>;

/** The name of something that can be done to a site. */
export type FaultName = keyof typeof FAULTS;
