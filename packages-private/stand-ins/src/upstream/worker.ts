/** One worker: its slots, its queue, its faults and its load reports. */

import type {RandomSource} from '@wasabidyke/policy';
import {
  drawServiceTime,
  roundAtRandom,
  type Neighbour,
} from './service-time.js';
import type {Faults, ServiceTime, WorkerSettings} from './settings.js';

/** Samples of the load kept for reports that lag. */
const MAXIMUM_LOAD_SAMPLES = 4_096;

/** A request on its way through a worker. */
export interface WorkItem {
  /** Service time that the request itself asks for. */
  readonly askedMs: number | undefined;
  /** Called when a slot is free. Returns false where the request is no longer to be run. */
  onBegin(): boolean;
  /** Called when the run has ended; its slot is free again. */
  onEnd(): void;
}

/** Counts of a worker since its start. */
export interface WorkerCounts {
  received: number;
  begun: number;
  ended: number;
  shed: number;
  cancelled: number;
  failed: number;
  loadReads: number;
  loadBytes: number;
  connections: number;
}

/** The published ORCA load report, as far as it is used here. */
export interface LoadReport {
  readonly application_utilization: number;
  readonly named_metrics: {readonly requests_in_flight: number};
}

interface LoadSample {
  readonly atMs: number;
  readonly requests: number;
}

/** One worker. */
export class Worker {
  readonly settings: WorkerSettings;
  readonly counts: WorkerCounts = createCounts();
  faults: Faults;
  serviceTime: ServiceTime;
  readonly #random: RandomSource;
  readonly #neighbour: Neighbour | undefined;
  readonly #waiting: WorkItem[] = [];
  readonly #running = new Map<WorkItem, NodeJS.Timeout | undefined>();
  readonly #samples: LoadSample[] = [];

  constructor(
    settings: WorkerSettings,
    random: RandomSource,
    neighbour: Neighbour | undefined,
  ) {
    this.settings = settings;
    this.faults = settings.faults;
    this.serviceTime = settings.serviceTime;
    this.#random = random;
    this.#neighbour = neighbour;
  }

  /** Requests that run or wait. */
  get requests(): number {
    return this.#running.size + this.#waiting.length;
  }

  /** Takes a request. Returns false where it is shed. */
  submit(item: WorkItem): boolean {
    const isFull =
      this.#running.size >= this.settings.slots &&
      this.#waiting.length >= this.settings.queueLimit;
    if (isFull || this.faults.shed) {
      return false;
    }
    this.#waiting.push(item);
    this.#startNext();
    this.#sample();
    return true;
  }

  /** Ends a request early. Returns whether its run had begun. */
  cancel(item: WorkItem): boolean {
    const position = this.#waiting.indexOf(item);
    if (position !== -1) {
      this.#waiting.splice(position, 1);
      this.#sample();
      return false;
    }
    clearTimeout(this.#running.get(item));
    return this.#release(item);
  }

  /** The load as this worker reports it now, lag and lies included. */
  report(): LoadReport {
    const requests = this.faults.liedRequestsInFlight ?? this.#readRequests();
    const utilization = Math.min(requests / this.settings.slots, 1);
    return {
      application_utilization: utilization,
      named_metrics: {requests_in_flight: requests},
    };
  }

  #startNext(): void {
    while (this.#running.size < this.settings.slots) {
      const item = this.#waiting.shift();
      if (item === undefined) {
        return;
      }
      this.#run(item);
    }
  }

  #run(item: WorkItem): void {
    if (!item.onBegin()) {
      return;
    }
    this.#running.set(item, undefined);
    this.counts.begun += 1;
    if (this.faults.hang) {
      return;
    }
    const timer = setTimeout(() => {
      this.#release(item);
      this.counts.ended += 1;
      item.onEnd();
    }, this.#drawDuration(item));
    this.#running.set(item, timer);
  }

  #release(item: WorkItem): boolean {
    const wasRunning = this.#running.delete(item);
    this.#startNext();
    this.#sample();
    return wasRunning;
  }

  #drawDuration(item: WorkItem): number {
    const drawn = drawServiceTime(this.#random, this.serviceTime);
    const noise = this.#neighbour?.readFactor(performance.now()) ?? 1;
    const factor = noise * this.faults.slowFactor * this.#coldFactor();
    return roundAtRandom(this.#random, (item.askedMs ?? drawn) * factor);
  }

  #coldFactor(): number {
    const cold = this.settings.coldStart;
    if (cold === undefined || this.counts.begun >= cold.runs) {
      return 1;
    }
    const progress = this.counts.begun / cold.runs;
    return cold.factor + (1 - cold.factor) * progress;
  }

  #sample(): void {
    if (this.faults.reportLagMs === 0) {
      this.#samples.length = 0;
      return;
    }
    this.#samples.push({atMs: performance.now(), requests: this.requests});
    if (this.#samples.length > MAXIMUM_LOAD_SAMPLES) {
      this.#samples.shift();
    }
  }

  #readRequests(): number {
    if (this.faults.reportLagMs === 0) {
      return this.requests;
    }
    const timeMs = performance.now() - this.faults.reportLagMs;
    while (this.#samples.length > 1 && this.#samples[1].atMs <= timeMs) {
      this.#samples.shift();
    }
    const [oldest] = this.#samples;
    return oldest === undefined || oldest.atMs > timeMs ? 0 : oldest.requests;
  }
}

function createCounts(): WorkerCounts {
  return {
    received: 0,
    begun: 0,
    ended: 0,
    shed: 0,
    cancelled: 0,
    failed: 0,
    loadReads: 0,
    loadBytes: 0,
    connections: 0,
  };
}
