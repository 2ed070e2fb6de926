/**
 * Watches whether the processes of upstreams run, for as long as requests may
 * be under way there, and reports each of these requests when one ends.
 */

import {SendWatch, type Crash, type UnsettledSend} from '@wasabidyke/policy';
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

/** Time for the answer to a load query on an open connection, in milliseconds: several round trips between regions. A check on a new connection follows. */
const QUICK_ANSWER_MS = 200;

/** Watches the processes of upstreams. */
export class ProcessWatch extends SendWatch<UpstreamHandle, WatchedRequest> {
  readonly #options: ProcessWatchOptions;
  readonly #ended: EndedProcesses;

  constructor(options: ProcessWatchOptions) {
    super(options.clock);
    this.#options = options;
    this.#ended = new EndedProcesses(options);
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
      this.abandon(handle, send);
    }
    if (result.kind === 'other-upstream') {
      this.#onEnded(handle, this.takeAbandoned(handle), 'other-upstream');
    } else if (result.kind === 'broken') {
      void this.hasEnded(handle);
    }
    return isSettled;
  }

  /** Called when the announcement of an upstream names a later start, without a departure. */
  onReplaced(record: UpstreamRecord): void {
    const handle = this.#options.registry().find(record.id);
    const sends = handle === undefined ? [] : this.takeAbandoned(handle);
    if (handle !== undefined && sends.length > 0) {
      this.#onEnded(handle, sends, 'replaced');
    }
    this.#ended.confirm(record);
  }

  /** Called when an upstream has answered anything. */
  onHeard(handle: UpstreamHandle): void {
    this.#ended.onHeard(handle.record);
  }

  override stop(): void {
    super.stop();
    this.#ended.stop();
  }

  protected override async check(handle: UpstreamHandle): Promise<boolean> {
    if (this.#ended.has(handle.record)) {
      return true;
    }
    const startedAtMs = this.#options.clock.now();
    if (handle.connections.idleCount > 0) {
      await this.#askQuickly(handle);
    }
    return (
      handle.heardAtMs <= startedAtMs &&
      (await this.#options.upstreamCheck.hasCrashed(handle))
    );
  }

  protected override seenAtMs(handle: UpstreamHandle): number {
    return handle.heardAtMs;
  }

  /** An entry that doubts its own links can't tell an end from their loss. */
  protected override isCheckable({record}: UpstreamHandle): boolean {
    return !this.#options.registry().reach(record.service).isDoubtful;
  }

  protected override onEnded(
    handle: UpstreamHandle,
    sends: readonly WatchedSend[],
    endedByMs: number,
  ): void {
    this.#onEnded(handle, sends, 'checked', endedByMs);
  }

  /** Sends a load query on an open connection, which costs less than a check on a new one. */
  async #askQuickly(handle: UpstreamHandle): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<void>(resolve => {
      timer = setTimeout(resolve, QUICK_ANSWER_MS);
    });
    const path = this.#options.loadPath(handle.record.service);
    await Promise.race([handle.queryLoad(path), timeout]);
    clearTimeout(timer);
  }

  #onEnded(
    {record}: UpstreamHandle,
    sends: readonly WatchedSend[],
    cause: EndCause,
    endedByMs = this.#options.clock.now(),
  ): void {
    const {log, monitor, clock} = this.#options;
    const ended = sends.map(({request, sentAtMs}) => ({
      request,
      span: monitor.spanOf(sentAtMs, endedByMs),
    }));
    const isNew = this.#ended.add(record, ended, clock.now());
    if (isNew || ended.length > 0) {
      log.record('upstream.ended', {
        upstream: record.id,
        service: record.service,
        reason: cause,
        requests: ended.length,
      });
    }
    for (const {request, span} of ended) {
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
