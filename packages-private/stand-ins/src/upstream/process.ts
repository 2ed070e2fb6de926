/** All workers of one process. */

import {SeededRandom} from '@wasabidyke/policy';
import type {HistoryRecorder} from '../history/index.js';
import {WorkerListener} from './listener.js';
import {Neighbour} from './service-time.js';
import type {UpstreamSettings} from './settings.js';
import {Worker, type WorkerCounts} from './worker.js';

/** What the control port tells of a worker. */
export interface WorkerDescription {
  readonly name: string;
  readonly address: string;
  readonly requests: number;
  readonly counts: WorkerCounts;
}

/** All workers of one process. */
export class UpstreamProcess {
  isOracle: boolean;
  readonly #workers: readonly Worker[];
  readonly #addresses = new Map<Worker, string>();
  readonly #history: HistoryRecorder;

  constructor(settings: UpstreamSettings, history: HistoryRecorder) {
    this.isOracle = settings.isOracle;
    this.#history = history;
    const random = new SeededRandom(settings.seed);
    const neighbours = new Map<string, Neighbour>();
    for (const [index, [vm, noise]] of Object.entries(
      settings.noise,
    ).entries()) {
      const own = new SeededRandom(settings.seed + index + 1);
      neighbours.set(vm, new Neighbour(own, noise));
    }
    this.#workers = settings.workers.map(
      worker => new Worker(worker, random, neighbours.get(worker.vm)),
    );
  }

  /** Listens on every worker's address. */
  async listen(): Promise<void> {
    for (const worker of this.#workers) {
      const listener = new WorkerListener(worker, this.#history, arrived =>
        this.#choose(arrived),
      );
      this.#addresses.set(worker, await listener.listen());
    }
  }

  /** Requests that run or wait in the whole process. */
  get requests(): number {
    return this.#workers.reduce((sum, worker) => sum + worker.requests, 0);
  }

  /** Requests received since the start. */
  get received(): number {
    return this.#workers.reduce((sum, each) => sum + each.counts.received, 0);
  }

  /** The workers of these names; all without names. */
  select(names: readonly string[] | undefined): readonly Worker[] {
    return this.#workers.filter(
      worker => names === undefined || names.includes(worker.settings.name),
    );
  }

  /** What the control port tells. */
  describe(): {readonly workers: readonly WorkerDescription[]} {
    const workers = this.#workers.map(worker => ({
      name: worker.settings.name,
      address: this.#addresses.get(worker) ?? worker.settings.address,
      requests: worker.requests,
      counts: worker.counts,
    }));
    return {workers};
  }

  #choose(arrived: Worker): Worker {
    if (!this.isOracle) {
      return arrived;
    }
    const {service} = arrived.settings;
    const candidates = this.#workers.filter(
      worker => worker.settings.service === service,
    );
    return candidates.reduce(
      (best, each) => (rateLoad(each) < rateLoad(best) ? each : best),
      arrived,
    );
  }
}

function rateLoad(worker: Worker): number {
  return (worker.requests / worker.settings.slots) * worker.faults.slowFactor;
}
