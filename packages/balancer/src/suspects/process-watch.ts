/**
 * Watches whether the processes of upstreams run, for as long as requests may
 * be under way there, and reports each of these requests when one ends.
 */

import {
  UnsettledSends,
  type Crash,
  type UnsettledSend,
} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import type {ExchangeResult} from '../exchange/exchange.js';
import type {UpstreamHandle} from '../members/upstream-handle.js';
import type {UpstreamRegistry} from '../members/upstream-registry.js';
import type {UpstreamRecord} from '../members/upstream-record.js';
import type {DecisionLog} from '../reporting/decision-log.js';
import {isErrorAnswer} from '../serving/attempt-recorder.js';
import type {CrashMonitor} from './crash-monitor.js';
import {EndedProcesses} from './ended-processes.js';
import type {UpstreamCheck} from './upstream-check.js';

/** A request that upstreams may end under. */
export interface WatchedRequest {
  /** Called when an upstream has ended that may have run the request. */
  onUpstreamEnded(upstream: UpstreamRecord, span: Crash['span']): void;
}

/** A send to an upstream that is watched. */
export type WatchedSend = UnsettledSend<WatchedRequest>;

/** How this entry learned that a process has ended. */
type EndCause =
  /** A check found it. */
  | 'checked'
  /** Another upstream has its address. */
  | 'other-upstream'
  /** Its announcement names a later start. */
  | 'replaced';

/** Options of `ProcessWatch`. */
export interface ProcessWatchOptions {
  readonly registry: () => UpstreamRegistry;
  /** Path of load queries to the upstreams of a service. */
  readonly loadPath: (service: string) => string;
  readonly upstreamCheck: UpstreamCheck;
  readonly monitor: CrashMonitor;
  readonly clock: Clock;
  readonly log: DecisionLog;
}

/** Checks of upstreams under way at which no further one is started by time alone: many are due together only when this entry has lost its links. */
const MAXIMUM_CHECKS = 16;

/** Time for the answer to a load query on an open connection, in milliseconds: several round trips between regions. A check on a new connection follows. */
const QUICK_ANSWER_MS = 200;

interface Watched {
  readonly sends: UnsettledSends<WatchedRequest>;
  timer: NodeJS.Timeout | undefined;
  /** When the timer fires, on the monotonic clock in milliseconds. */
  dueAtMs: number;
  isChecking: boolean;
}

/** Watches the processes of upstreams. */
export class ProcessWatch {
  readonly #options: ProcessWatchOptions;
  readonly #watched = new Map<UpstreamHandle, Watched>();
  readonly #ended: EndedProcesses;
  #checks = 0;

  constructor(options: ProcessWatchOptions) {
    this.#options = options;
    this.#ended = new EndedProcesses(options);
  }

  /** Number of sends whose outcome is open. */
  get unsettledCount(): number {
    return [...this.#watched.values()].reduce(
      (count, {sends}) => count + sends.pendingCount + sends.abandonedCount,
      0,
    );
  }

  /** Called when a request is sent to an upstream. */
  onSend(handle: UpstreamHandle, request: WatchedRequest): WatchedSend {
    return this.#watch(handle).sends.add(request, this.#options.clock.now());
  }

  /**
   * Called with the result of a send. Returns whether the upstream can't end
   * under it any more: after an error it still may.
   */
  onResult(
    handle: UpstreamHandle,
    send: WatchedSend,
    result: ExchangeResult,
  ): boolean {
    const isSettled = isFinal(result);
    if (isSettled) {
      this.settle(handle, send);
    } else {
      this.#abandon(handle, send);
    }
    if (result.kind === 'other-upstream') {
      this.#onEnded(handle, 'other-upstream');
    } else if (result.kind === 'broken') {
      void this.hasEnded(handle);
    }
    return isSettled;
  }

  /** Called when an upstream can't end under a send any more. */
  settle(handle: UpstreamHandle, send: WatchedSend): void {
    const watched = this.#watched.get(handle);
    watched?.sends.settle(send);
    this.#schedule(handle, watched);
  }

  /** Whether the process of an upstream has ended, after a connection to it broke. */
  async hasEnded(handle: UpstreamHandle): Promise<boolean> {
    if (this.#ended.has(handle.record)) {
      this.#onEnded(handle, 'checked');
      return true;
    }
    const startedAtMs = this.#options.clock.now();
    this.#checks += 1;
    const hasEnded =
      !(await this.#answersQuickly(handle, startedAtMs)) &&
      (await this.#options.upstreamCheck.hasCrashed(handle));
    this.#checks -= 1;
    if (hasEnded) {
      this.#onEnded(handle, 'checked');
    } else {
      this.#onSeen(handle, startedAtMs);
    }
    return hasEnded;
  }

  /** Called when the announcement of an upstream names a later start, without a departure. */
  onReplaced(record: UpstreamRecord): void {
    const handle = this.#options.registry().find(record.id);
    if (handle !== undefined) {
      this.#onEnded(handle, 'replaced');
    }
    this.#ended.confirm(record);
  }

  /** Called when an upstream has answered anything. */
  onHeard(handle: UpstreamHandle): void {
    this.#ended.onHeard(handle.record);
  }

  /** Called when a connection to an upstream ends that this entry didn't close, as all do when its process ends. */
  onConnectionLost(handle: UpstreamHandle): void {
    const watched = this.#watched.get(handle);
    if (watched !== undefined && watched.sends.abandonedCount > 0) {
      void this.hasEnded(handle);
    }
  }

  /** Ends all checks that are due. */
  stop(): void {
    for (const {timer} of this.#watched.values()) {
      clearTimeout(timer);
    }
    this.#watched.clear();
    this.#ended.stop();
  }

  #watch(handle: UpstreamHandle): Watched {
    const known = this.#watched.get(handle);
    if (known !== undefined) {
      return known;
    }
    const watched = {
      sends: new UnsettledSends<WatchedRequest>(),
      timer: undefined,
      dueAtMs: Infinity,
      isChecking: false,
    };
    this.#watched.set(handle, watched);
    return watched;
  }

  #abandon(handle: UpstreamHandle, send: WatchedSend): void {
    const watched = this.#watched.get(handle);
    watched?.sends.abandon(send, this.#options.clock.now());
    this.#schedule(handle, watched);
  }

  /** Plans the next check; forgets an upstream at which nothing is under way. */
  #schedule(handle: UpstreamHandle, watched: Watched | undefined): void {
    if (watched === undefined) {
      return;
    }
    if (watched.sends.isEmpty) {
      clearTimeout(watched.timer);
      if (this.#watched.get(handle) === watched) {
        this.#watched.delete(handle);
      }
      return;
    }
    const dueAtMs = watched.sends.nextSightAtMs ?? Infinity;
    if (watched.isChecking || dueAtMs >= watched.dueAtMs) {
      return;
    }
    clearTimeout(watched.timer);
    watched.dueAtMs = dueAtMs;
    watched.timer = setTimeout(
      () => void this.#onDue(handle, watched),
      Math.max(0, dueAtMs - this.#options.clock.now()),
    );
    watched.timer.unref();
  }

  async #onDue(handle: UpstreamHandle, watched: Watched): Promise<void> {
    const {dueAtMs} = watched;
    watched.isChecking = true;
    if (handle.heardAtMs >= dueAtMs) {
      watched.sends.onSeen(handle.heardAtMs);
    } else if (this.#isCheckable(handle)) {
      await this.hasEnded(handle);
    } else {
      watched.sends.onSeen(dueAtMs);
    }
    watched.isChecking = false;
    watched.dueAtMs = Infinity;
    this.#schedule(handle, watched);
  }

  /** Whether a check would tell something: not where this entry doubts its own links. */
  #isCheckable({record}: UpstreamHandle): boolean {
    const {isDoubtful} = this.#options.registry().reach(record.service);
    return !isDoubtful && this.#checks < MAXIMUM_CHECKS;
  }

  /** Whether a load query on an open connection is answered, which costs less than a check on a new one. */
  async #answersQuickly(
    handle: UpstreamHandle,
    startedAtMs: number,
  ): Promise<boolean> {
    if (handle.connections.idleCount === 0) {
      return false;
    }
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<void>(resolve => {
      timer = setTimeout(resolve, QUICK_ANSWER_MS);
    });
    const path = this.#options.loadPath(handle.record.service);
    await Promise.race([handle.queryLoad(path), timeout]);
    clearTimeout(timer);
    return handle.heardAtMs > startedAtMs;
  }

  #onSeen(handle: UpstreamHandle, atMs: number): void {
    const watched = this.#watched.get(handle);
    watched?.sends.onSeen(atMs);
    this.#schedule(handle, watched);
  }

  /** Reports the requests that the process was running. */
  #onEnded(handle: UpstreamHandle, cause: EndCause): void {
    const {log, monitor, clock} = this.#options;
    const {record} = handle;
    const watched = this.#watched.get(handle);
    // A check fails for all that is under way; what is left otherwise has lost its own connection.
    const sends =
      (cause === 'checked'
        ? watched?.sends.takeAll()
        : watched?.sends.takeAbandoned()) ?? [];
    this.#schedule(handle, watched);
    if (cause === 'replaced' && sends.length === 0) {
      return;
    }
    const spans = sends.map(({request, sentAtMs}) => ({
      request,
      span: monitor.spanSince(sentAtMs),
    }));
    const isNew = this.#ended.add(record, spans, clock.now());
    if (isNew || sends.length > 0) {
      log.record('upstream.ended', {
        upstream: record.id,
        service: record.service,
        reason: cause,
        requests: sends.length,
      });
    }
    for (const {request, span} of spans) {
      request.onUpstreamEnded(record, span);
    }
  }
}

/** Whether the upstream has answered without an error, has not taken the request, or has refused it. */
function isFinal(result: ExchangeResult): boolean {
  switch (result.kind) {
    case 'answered':
      return !isErrorAnswer(result.answer);
    case 'not-run':
    case 'not-sent':
    case 'other-upstream':
      return true;
    case 'broken':
    case 'given-up':
      return false;
  }
}
