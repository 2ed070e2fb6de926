/**
 * Callers, entries and upstreams of one service in simulated time, without a
 * network. Upstreams slow down when they are nearly full and when their
 * neighbours are busy; callers that are refused come back.
 */

import {
  repeatDelayMs,
  repeatReserve,
  SeededRandom,
  type RandomSource,
} from '@wasabidyke/policy';
import {SimulatedEntry} from './overload-entry.js';
import {
  isTimely,
  type OverloadOptions,
  type SimulatedRequest,
} from './overload-options.js';
import {
  NEIGHBOUR_PERIOD_MS,
  SimulatedUpstream,
  type SimulatedKind,
  type SimulatedRun,
} from './overload-upstream.js';

interface Run extends SimulatedRun {
  readonly request: SimulatedRequest;
  readonly entry: SimulatedEntry;
  readonly estimateMs: number;
  readonly workEstimateMs: number;
  readonly sentAtMs: number;
}

/** A request at one entry. */
interface CallerAttempt {
  readonly request: SimulatedRequest;
  readonly entry: SimulatedEntry;
  readonly arrivedAtMs: number;
  waitedSinceMs: number | undefined;
  /** Set while the request waits. */
  endWait: (() => void) | undefined;
  isCounted: boolean;
  sends: number;
  readonly refuse: (comeBackMs: number) => void;
}

/** Times of the network, as on the users' sites. */
const ROUND_TRIP_MS = 2.5;
const REPORT_DELAY_MS = 4;

/** What entries and callers do in the product. */
const FRESH_REPORT_AGE_MS = 40;
const CANDIDATES = 12;
const MAXIMUM_WAIT_SHARE = 1 / 8;
const PAUSE_MS = 10;
const ATTEMPTS = 3;
const CALLER_RETRIES = 1;

const SECOND_MS = 1_000;
const DRAWS = 10_000;

/** The simulation. */
export class OverloadSimulation {
  readonly requests: SimulatedRequest[] = [];
  readonly #options: OverloadOptions;
  readonly #isInformed: boolean;
  readonly #random: RandomSource;
  readonly #upstreams: Array<SimulatedUpstream<Run>>;
  readonly #entries: SimulatedEntry[];
  readonly #events = new Map<number, Array<() => void>>();
  #nowMs = 0;

  constructor(options: OverloadOptions, seed: number) {
    this.#isInformed = options.manner.startsWith('informed');
    this.#options = this.#isInformed ? {...options, entries: 1} : options;
    this.#random = new SeededRandom(seed);
    this.#upstreams = Array.from(
      {length: options.upstreams},
      () => new SimulatedUpstream<Run>(options.slots),
    );
    this.#entries = Array.from({length: this.#options.entries}, () =>
      this.#createEntry(),
    );
  }

  /** Runs to the end. */
  run(): void {
    for (; this.#nowMs < this.#options.lengthMs; this.#nowMs++) {
      this.#changeNeighbours();
      this.#stepUpstreams();
      this.#arrive();
      const due = this.#events.get(this.#nowMs) ?? [];
      this.#events.delete(this.#nowMs);
      due.forEach(event => event());
    }
  }

  /** Share of the requests that began in a time and were answered within their target. */
  timelyShare(fromMs: number, untilMs: number, kind?: string): number {
    const asked = this.requests.filter(
      request =>
        request.startedAtMs >= fromMs &&
        request.startedAtMs < untilMs &&
        (kind === undefined || request.kind.name === kind),
    );
    return asked.filter(isTimely).length / Math.max(1, asked.length);
  }

  /** Sum of the values of the requests that began in a time and were answered within their target. */
  credit(fromMs: number, untilMs: number): number {
    return this.requests
      .filter(({startedAtMs}) => startedAtMs >= fromMs && startedAtMs < untilMs)
      .filter(isTimely)
      .reduce((sum, {kind}) => sum + (kind.value ?? 1), 0);
  }

  #createEntry(): SimulatedEntry {
    const {manner} = this.#options;
    return new SimulatedEntry({
      ...this.#options,
      roundTripMs: ROUND_TRIP_MS,
      isValueBased: manner === 'value' || manner === 'informed-value',
      random: this.#random,
    });
  }

  #changeNeighbours(): void {
    if (this.#nowMs % NEIGHBOUR_PERIOD_MS !== 0) {
      return;
    }
    for (const upstream of this.#upstreams) {
      upstream.drawNeighbours(this.#draw());
    }
  }

  #stepUpstreams(): void {
    this.#upstreams.forEach((upstream, index) => {
      for (const run of upstream.step()) {
        this.#onAnswer(run, index);
      }
    });
  }

  #onAnswer(run: Run, index: number): void {
    const {entry, request, estimateMs} = run;
    const statistics = entry.statistics[index];
    statistics.onEnd('answered', this.#nowMs);
    const factor =
      (this.#nowMs - run.sentAtMs + ROUND_TRIP_MS) / Math.max(1, estimateMs);
    statistics.onDurationRatio(factor, this.#nowMs);
    entry.work
      .get(request.kind)
      ?.onAnswer(run.workEstimateMs * factor, this.#nowMs);
    this.#report(entry, index);
    request.answeredAtMs ??= this.#nowMs;
  }

  #report(entry: SimulatedEntry, index: number): void {
    const {running, waiting, slots, neighbourSlowdown} = this.#upstreams[index];
    entry.statistics[index].onReport(
      {
        running: running.length,
        waiting: waiting.length,
        slots,
        slowdown: neighbourSlowdown,
      },
      this.#nowMs,
    );
  }

  #arrive(): void {
    const {rate, extraRate} = this.#options;
    this.#arriveAt(rate(this.#nowMs));
    if (extraRate !== undefined) {
      this.#arriveAt(extraRate(this.#nowMs), true);
    }
  }

  #arriveAt(perSecond: number, isExtra = false): void {
    for (let expected = perSecond / SECOND_MS; expected > 0; expected--) {
      if (this.#draw() < expected) {
        const request = this.#createRequest(isExtra);
        this.requests.push(request);
        this.#ask(request, this.#random.nextBelow(this.#options.entries), 0);
      }
    }
  }

  #createRequest(isExtra: boolean): SimulatedRequest {
    let draw = this.#draw();
    const {kinds} = this.#options;
    const last = kinds[kinds.length - 1];
    const drawn = kinds.find(({share}) => (draw -= share) < 0) ?? last;
    const kind = isExtra ? last : drawn;
    const {accounts} = kind;
    const index = isExtra ? 0 : accounts && this.#random.nextBelow(accounts);
    return {
      kind,
      account: accounts ? `${kind.name}-${index}` : undefined,
      startedAtMs: this.#nowMs,
      answeredAtMs: undefined,
      refusals: 0,
    };
  }

  /** A caller asks an entry. */
  #ask(request: SimulatedRequest, entryIndex: number, retries: number): void {
    const entry = this.#entries[entryIndex];
    entry.repeats.onRequest(this.#nowMs);
    this.#attempt({
      request,
      entry,
      arrivedAtMs: this.#nowMs,
      waitedSinceMs: undefined,
      endWait: undefined,
      isCounted: false,
      sends: 0,
      refuse: comeBackMs => {
        request.refusals += 1;
        const returnsAtMs = this.#nowMs + comeBackMs;
        const isBeforeDeadline =
          returnsAtMs < request.startedAtMs + request.kind.deadlineMs;
        const {callerRetries = CALLER_RETRIES} = this.#options;
        const retriesLeft = this.#isInformed ? 0 : callerRetries - retries;
        if (retriesLeft > 0 && isBeforeDeadline) {
          this.#after(comeBackMs, () => {
            const next = this.#random.nextBelow(this.#entries.length);
            this.#ask(request, next, retries + 1);
          });
        }
      },
    });
  }

  #attempt(attempt: CallerAttempt): void {
    const {entry} = attempt;
    const indices = this.#candidates();
    for (const index of indices) {
      const ageMs = entry.statistics[index].reportAgeMs(this.#nowMs);
      if (this.#isInformed || ageMs > FRESH_REPORT_AGE_MS) {
        this.#report(entry, index);
      }
    }
    if (this.#isInformed) {
      this.#decide(attempt, indices);
    } else {
      // The answers to the load queries take their time, in which others send.
      this.#after(REPORT_DELAY_MS, () => this.#decide(attempt, indices));
    }
  }

  #decide(attempt: CallerAttempt, indices: readonly number[]): void {
    const {request, entry, arrivedAtMs} = attempt;
    const {kind} = request;
    const deadlineMs = request.startedAtMs + kind.deadlineMs;
    const nowMs = this.#nowMs;
    const {index, workMs, considered} = entry.select(indices, {
      nowMs,
      kind,
      targetRemainingMs: arrivedAtMs + kind.targetMs - nowMs,
      remainingMs: deadlineMs - nowMs,
    });
    const statistics = entry.statistics[index];
    const estimateMs = statistics.estimateMs({nowMs, workMs});
    const freeSlots = statistics.freeSlots(nowMs);
    const excessMs = Math.max(20, (-freeSlots * workMs) / statistics.slots);
    if (estimateMs > deadlineMs - nowMs) {
      attempt.refuse(excessMs);
      return;
    }
    const {account} = request;
    const demand = {priority: kind.priority, workMs, account};
    if (this.#options.manner !== 'late-queue') {
      if (!attempt.isCounted) {
        attempt.isCounted = true;
        entry.admission.onArrival(demand, nowMs);
      }
      const decision = entry.admission.decide({
        nowMs,
        ...demand,
        considered,
        slowingSlots: statistics.slowingSlots,
        estimateMs,
        freeSlotEstimateMs: statistics.freeSlotEstimateMs({nowMs, workMs}),
        freeSlots,
        targetRemainingMs: arrivedAtMs + kind.targetMs - nowMs,
        maximumWaitMs: kind.targetMs * MAXIMUM_WAIT_SHARE,
        waitedMs: nowMs - (attempt.waitedSinceMs ?? nowMs),
      });
      if (decision !== 'wait') {
        attempt.endWait?.();
        attempt.endWait = undefined;
      }
      if (decision === 'wait') {
        attempt.waitedSinceMs ??= nowMs;
        attempt.endWait ??= entry.admission.onWait(kind.priority);
        this.#after(PAUSE_MS, () => this.#attempt(attempt));
        return;
      }
      if (decision === 'refuse') {
        attempt.refuse(entry.admission.refuse(excessMs, nowMs, kind.priority));
        return;
      }
      entry.admission.onSend(demand, nowMs, attempt.sends > 0);
    }
    this.#send(attempt, index, estimateMs, workMs);
  }

  #send(
    attempt: CallerAttempt,
    index: number,
    estimateMs: number,
    workEstimateMs: number,
  ): void {
    const {entry, request} = attempt;
    const statistics = entry.statistics[index];
    statistics.onSend();
    attempt.sends += 1;
    const run: Run = {
      request,
      entry,
      estimateMs,
      workEstimateMs,
      sentAtMs: this.#nowMs,
      leftMs: this.#drawWork(request.kind),
    };
    if (!this.#isRejected() && this.#upstreams[index].add(run)) {
      return;
    }
    statistics.onEnd('refused', this.#nowMs);
    this.#report(entry, index);
    if (attempt.sends < ATTEMPTS && this.#takeRepeat(attempt)) {
      this.#attempt(attempt);
    } else {
      attempt.refuse(this.#repeatDelayMs(attempt));
    }
  }

  /** Takes from the repeat budget, which is simulated where upstreams reject. */
  #takeRepeat({entry, request, arrivedAtMs}: CallerAttempt): boolean {
    const {rejectedShare, manner} = this.#options;
    if (rejectedShare === undefined) {
      return true;
    }
    const {kind} = request;
    const lateAtMs = arrivedAtMs + kind.targetMs - kind.workMs;
    const reserved = repeatReserve({
      moreUrgentShare: entry.admission.moreUrgentShare(kind.priority),
      failureShare: entry.failures.share(this.#nowMs),
      ratio: entry.repeats.ratio,
      isLate: this.#nowMs > lateAtMs,
    });
    return entry.repeats.take(this.#nowMs, manner === 'value' ? reserved : 0);
  }

  #repeatDelayMs({entry, request}: CallerAttempt): number {
    return this.#options.manner !== 'value'
      ? PAUSE_MS
      : repeatDelayMs(PAUSE_MS, {
          moreUrgentShare: entry.admission.moreUrgentShare(
            request.kind.priority,
          ),
          failureShare: entry.failures.share(this.#nowMs),
        });
  }

  /** Some of the upstreams that run, in a random order. */
  #candidates(): number[] {
    const running = this.#options.running(this.#nowMs);
    const first = this.#random.nextBelow(running);
    const count = this.#isInformed ? running : Math.min(CANDIDATES, running);
    return Array.from({length: count}, (_, step) => (first + step) % running);
  }

  #isRejected(): boolean {
    const {rejectedShare} = this.#options;
    return (
      rejectedShare !== undefined && this.#draw() < rejectedShare(this.#nowMs)
    );
  }

  #drawWork({workMs}: SimulatedKind): number {
    return workMs * (0.6 + 0.8 * this.#draw());
  }

  #draw(): number {
    return this.#random.nextBelow(DRAWS) / DRAWS;
  }

  #after(delayMs: number, event: () => void): void {
    const atMs = this.#nowMs + Math.max(1, Math.round(delayMs));
    const events = this.#events.get(atMs) ?? [];
    events.push(event);
    this.#events.set(atMs, events);
  }
}
