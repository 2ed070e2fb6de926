/** Draws schedules from a seed by fast-check. */

import {plannedRequestSchema, type PlannedRequest} from '@wasabidyke/stand-ins';
import type {PromiseName} from '@wasabidyke/stand-ins';
import fc from 'fast-check';
import {FAULTS, type FaultName} from '../faults/index.js';
import type {Layout} from '../site/layout.js';
import {PROFILE_OF_ALL, PROFILES, type Profile} from './profiles.js';
import type {PlannedCaller, PlannedFault, Schedule} from './schedule.js';

const CALLERS = 2;
const FIRST_FAULT_MS = 500;
const SHORTEST_FAULT_MS = 300;
const LONGEST_FAULT_MS = 4_000;
const POISON_ATTEMPTS = 8;

/** Pause between the sends of a poisonous request: no entry can know of an end before it comes, and other entries are told of it within a second. */
const POISON_PAUSE_MS = 1_000;
const LONGEST_POISON_RUN_MS = 300;
const MILLISECONDS_PER_SECOND = 1_000;

/** Workers that leave keep away from other faults that would bring them back. */
const DEPARTURES: ReadonlySet<FaultName> = new Set([
  'leave-by-manifest',
  'leave-by-vm-list',
  'leave-by-signal',
]);

/** Draws the schedule of a seed. */
export function drawSchedule(
  seed: number,
  promise: PromiseName | undefined,
  layout: Layout,
): Schedule {
  const profile = promise === undefined ? PROFILE_OF_ALL : PROFILES[promise];
  const schedule = fc.record({
    callers: fc.tuple(
      ...Array.from({length: CALLERS}, (_, index) =>
        drawCaller(`caller-${index + 1}`, index === 0, profile),
      ),
    ),
    faults: drawFaults(profile),
  });
  const [drawn] = fc.sample(fc.noBias(schedule), {seed, numRuns: 1});
  const {directed} = profile;
  const faults = [...directed, ...aimAll(drawn.faults, layout, directed)];
  return {
    seed,
    promise,
    durationMs: profile.durationMs,
    callers: drawn.callers,
    faults,
  };
}

interface DrawnFault {
  readonly name: FaultName;
  readonly target: number;
  readonly atMs: number;
  readonly lengthMs: number;
}

function drawFaults(profile: Profile): fc.Arbitrary<DrawnFault[]> {
  const {always, pool, minimumDrawn, maximumDrawn} = profile;
  const drawn = fc.array(drawFault(fc.constantFrom(...pool), profile), {
    minLength: minimumDrawn,
    maxLength: maximumDrawn,
    size: 'max',
  });
  const certain = always.map(name => drawFault(fc.constant(name), profile));
  return fc
    .tuple(fc.tuple(...certain), drawn)
    .map(([first, further]) => [...sortTimes(first), ...further]);
}

/** Leaves faults in their order, and their times rising. */
function sortTimes(faults: readonly DrawnFault[]): DrawnFault[] {
  const times = faults
    .map(({atMs}) => atMs)
    .toSorted((left, right) => left - right);
  return faults.map((fault, index) => ({...fault, atMs: times[index]}));
}

function drawFault(
  name: fc.Arbitrary<FaultName>,
  {faultsUntilMs}: Profile,
): fc.Arbitrary<DrawnFault> {
  return fc.record({
    name,
    target: fc.nat(),
    atMs: fc.integer({min: FIRST_FAULT_MS, max: faultsUntilMs}),
    lengthMs: fc.integer({min: SHORTEST_FAULT_MS, max: LONGEST_FAULT_MS}),
  });
}

/** Aims faults. A worker that leaves does nothing else: no other fault may bring it back. */
function aimAll(
  faults: readonly DrawnFault[],
  layout: Layout,
  directed: readonly PlannedFault[],
): PlannedFault[] {
  const taken = new Set(directed.map(({target}) => target));
  const workers = layout.workers
    .map(({name}) => name)
    .filter(name => !taken.has(name));
  const entries = layout.entries.map(({name}) => name);
  const isDeparture = ({name}: DrawnFault) => DEPARTURES.has(name);
  const leaving = faults
    .filter(isDeparture)
    .slice(0, workers.length / 2)
    .map(fault => {
      const position = fault.target % workers.length;
      return {...fault, target: workers.splice(position, 1)[0]};
    });
  const others = faults
    .filter(fault => !isDeparture(fault))
    .map(fault => {
      const {targetKind} = FAULTS[fault.name];
      const candidates = targetKind === 'entry' ? entries : workers;
      const target =
        targetKind === 'site'
          ? targetKind
          : candidates[fault.target % candidates.length];
      return {...fault, target};
    });
  return [...leaving, ...others];
}

function drawCaller(
  name: string,
  keepsOldList: boolean,
  profile: Profile,
): fc.Arbitrary<PlannedCaller> {
  const {durationMs, requestsPerSecond, poisonous} = profile;
  const count = (durationMs / MILLISECONDS_PER_SECOND) * requestsPerSecond;
  const requests = Array.from({length: count}, (_, index) =>
    drawRequest(`${name}-${index + 1}`, profile),
  );
  const poison = Array.from({length: poisonous}, (_, index) =>
    drawPoison(`${name}-poison-${index + 1}`, profile),
  );
  return fc
    .tuple(...requests, ...poison)
    .map(planned => ({name, keepsOldList, requests: planned}));
}

function drawRequest(
  request: string,
  profile: Profile,
): fc.Arbitrary<PlannedRequest> {
  const {lookups, orders, durationMs} = profile;
  const base = {
    request: fc.constant(request),
    atMs: fc.integer({min: 0, max: durationMs}),
    service: fc.constantFrom('shop', 'farm'),
    workMs: drawRarely(fc.integer({min: 50, max: 1_000})),
    cancelAfterMs: drawRarely(fc.integer({min: 2, max: 200})),
  };
  const others = 100 - lookups - orders;
  return fc
    .oneof(
      {weight: lookups, arbitrary: drawLookup(base)},
      {weight: orders, arbitrary: drawOrder(base)},
      {weight: others, arbitrary: drawUpload(base)},
    )
    .map(planned => plannedRequestSchema.parse(planned));
}

type Base = Record<string, fc.Arbitrary<unknown>>;

function drawLookup(base: Base): fc.Arbitrary<object> {
  return fc.record({
    ...base,
    method: fc.constant('GET'),
    path: fc.constantFrom('/items', '/stock'),
    rule: fc.constant('idempotent'),
    payloadBytes: fc.integer({min: 0, max: 100_000}),
  });
}

function drawOrder(base: Base): fc.Arbitrary<object> {
  return fc.record({
    ...base,
    method: fc.constant('POST'),
    path: fc.constant('/orders'),
    rule: fc.constant('at-most-once'),
    bodyBytes: fc.integer({min: 1, max: 2_000}),
    isDuplicated: drawBoolean(15),
    isResentAfterAnswer: drawBoolean(25),
  });
}

function drawUpload(base: Base): fc.Arbitrary<object> {
  return fc.record({
    ...base,
    method: fc.constant('POST'),
    path: fc.constant('/photos'),
    rule: fc.constant('bulk'),
    bodyBytes: fc.integer({min: 1_000, max: 1_000_000}),
    uploadMs: fc.integer({min: 0, max: 1_500}),
  });
}

function drawPoison(
  request: string,
  {durationMs}: Profile,
): fc.Arbitrary<PlannedRequest> {
  return fc
    .record({
      request: fc.constant(request),
      atMs: fc.integer({min: FIRST_FAULT_MS, max: durationMs / 2}),
      service: fc.constantFrom('shop', 'farm'),
      method: fc.constant('GET'),
      path: fc.constant('/items'),
      rule: fc.constant('idempotent'),
      attempts: fc.constant(POISON_ATTEMPTS),
      isSameAgain: fc.constant(true),
      pauseMs: fc.constant(POISON_PAUSE_MS),
      ending: fc.record({
        afterMs: fc.integer({min: 0, max: LONGEST_POISON_RUN_MS}),
        isWithinAnswer: fc.boolean(),
      }),
      // It waits for its answer, leaves early, or has a short deadline.
      patience: fc.constantFrom({}, {}, {cancelAfterMs: 60}, {timeoutMs: 150}),
    })
    .map(({patience, ...planned}) =>
      plannedRequestSchema.parse({...planned, ...patience}),
    );
}

function drawRarely<Value>(
  arbitrary: fc.Arbitrary<Value>,
): fc.Arbitrary<Value | undefined> {
  return fc
    .tuple(arbitrary, drawBoolean(15))
    .map(([value, isDrawn]) => (isDrawn ? value : undefined));
}

function drawBoolean(percentage: number): fc.Arbitrary<boolean> {
  return fc.integer({min: 1, max: 100}).map(drawn => drawn <= percentage);
}
