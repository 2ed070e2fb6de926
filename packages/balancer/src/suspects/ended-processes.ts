/**
 * Upstreams whose processes were found to have ended, for as long as one may
 * turn out to have stood still or been cut off: what was reported under it is
 * then withdrawn.
 */

import type {Crash} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import type {UpstreamRegistry} from '../members/upstream-registry.js';
import type {UpstreamRecord} from '../members/upstream-record.js';
import {toStartName, type CrashMonitor} from './crash-monitor.js';
import type {WatchedRequest} from './process-watch.js';

/** Options of `EndedProcesses`. */
export interface EndedProcessesOptions {
  readonly registry: () => UpstreamRegistry;
  /** Path of load queries to the upstreams of a service. */
  readonly loadPath: (service: string) => string;
  readonly monitor: CrashMonitor;
  readonly clock: Clock;
}

/** A request under which a process ended, and when it was there. */
export interface EndedRequest {
  readonly request: WatchedRequest;
  readonly span: Crash['span'];
}

/** Time for which an upstream may stand still before its end is final, in milliseconds: longer than the platform suspends a machine, or keeps the announcement of a silent one. */
const MAXIMUM_STANDSTILL_MS = 60_000;

/** Time between checks of whether an upstream runs after all, in milliseconds: that in which one that is back is used again. */
const RECHECK_INTERVAL_MS = 2_000;

/** Maximum number of ended processes that are kept; the oldest is dropped first, and its end is final. */
const MAXIMUM_ENDED = 64;

/** Maximum number of requests that are kept of one ended process: a few times what it runs at once. */
const MAXIMUM_REQUESTS = 64;

interface EndedProcess {
  readonly record: UpstreamRecord;
  requests: readonly EndedRequest[];
  readonly endedAtMs: number;
  /** Whether it answered after all. */
  isRefuted: boolean;
}

/** Processes of upstreams that have ended. */
export class EndedProcesses {
  readonly #options: EndedProcessesOptions;
  /** By the names of their starts, oldest first. */
  readonly #processes = new Map<string, EndedProcess>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: EndedProcessesOptions) {
    this.#options = options;
  }

  /** Whether a start is known to have ended. */
  has(record: UpstreamRecord): boolean {
    const process = this.#processes.get(toStartName(record));
    return process !== undefined && !process.isRefuted;
  }

  /** Adds a start that has ended under requests. Returns whether that was not known. */
  add(
    record: UpstreamRecord,
    requests: readonly EndedRequest[],
    nowMs: number,
  ): boolean {
    const name = toStartName(record);
    const known = this.#processes.get(name);
    if (known !== undefined) {
      known.requests = [...known.requests, ...requests].slice(
        -MAXIMUM_REQUESTS,
      );
      const {isRefuted} = known;
      known.isRefuted = false;
      return isRefuted;
    }
    this.#processes.set(name, {
      record,
      requests: requests.slice(-MAXIMUM_REQUESTS),
      endedAtMs: nowMs,
      isRefuted: false,
    });
    if (this.#processes.size > MAXIMUM_ENDED) {
      const [oldest] = this.#processes.keys();
      this.#processes.delete(oldest);
    }
    this.#timer ??= this.#startTimer();
    return true;
  }

  /** Called when an upstream answered: it has not ended, unless a later start has its id. */
  onHeard(record: UpstreamRecord): void {
    if (this.#processes.size === 0) {
      return;
    }
    const name = toStartName(record);
    const process = this.#processes.get(name);
    if (process !== undefined && !process.isRefuted) {
      process.isRefuted = true;
      this.#options.monitor.onRefuted(name);
    }
  }

  /** Called when the announcement of an upstream names a later start: what answered was that one. */
  confirm(record: UpstreamRecord): void {
    const process = this.#processes.get(toStartName(record));
    if (process?.isRefuted === true) {
      process.isRefuted = false;
      for (const {request, span} of process.requests) {
        request.onUpstreamEnded(record, span);
      }
    }
  }

  /** Ends the checks. */
  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
    this.#processes.clear();
  }

  #startTimer(): NodeJS.Timeout {
    const timer = setInterval(() => this.#recheck(), RECHECK_INTERVAL_MS);
    timer.unref();
    return timer;
  }

  #recheck(): void {
    const {registry, loadPath, clock} = this.#options;
    for (const [name, process] of this.#processes) {
      const {record, endedAtMs, isRefuted} = process;
      if (clock.now() - endedAtMs > MAXIMUM_STANDSTILL_MS) {
        this.#processes.delete(name);
        continue;
      }
      const handle = registry().find(record.id);
      const isListed =
        handle !== undefined && toStartName(handle.record) === name;
      if (isListed && !isRefuted) {
        void handle.isAlive(loadPath(record.service));
      }
    }
    if (this.#processes.size === 0) {
      this.stop();
    }
  }
}
