/** Tells the warm-up of an upstream what records, answers and connections show, and reports when it begins. */

import type {WarmUp} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import type {WireProtocol} from '../exchange/wire-protocol.js';
import type {AnswerHead} from './upstream-handle.js';
import type {UpstreamRecord} from './upstream-record.js';

/** Why an upstream may have become cold without saying so. */
export type WarmUpDoubt =
  /** A connection was refused, reset or lost. */
  | 'connection'
  /** A load query was not answered. */
  | 'unanswered'
  /** The upstream has restarted under its id. */
  | 'restart'
  /** The evacuation of its zone has ended. */
  | 'evacuation';

/** Where a warm-up was learned of. */
export type WarmUpSource =
  'record' | 'load-query' | 'configuration' | WarmUpDoubt;

/** Options of `WarmUpTracker`. */
export interface WarmUpTrackerOptions {
  readonly warmUp: WarmUp;
  /** The record that the upstream joins with. */
  readonly record: UpstreamRecord;
  readonly protocol: WireProtocol;
  readonly clock: Clock;
  /** Called when the upstream counts as cold that did not before. */
  readonly onBegin: (source: WarmUpSource) => void;
}

/** Answers with this status or a higher one say nothing of a warm-up that they do not name. Source: HTTP; 200 to 299 are successes. */
const FIRST_FAILED_STATUS = 300;

/** Tracks the warm-up of one upstream. */
export class WarmUpTracker {
  readonly #options: WarmUpTrackerOptions;
  #record: UpstreamRecord;

  constructor(options: WarmUpTrackerOptions) {
    const {record, warmUp, clock} = options;
    this.#options = options;
    this.#record = record;
    warmUp.onRecord(record.warmUpLeftMs, clock.now());
  }

  /** What is known of the warm-up. */
  get warmUp(): WarmUp {
    return this.#options.warmUp;
  }

  /** Takes a record. One that was taken before changes nothing. */
  onRecord(record: UpstreamRecord): void {
    const former = this.#record;
    this.#record = record;
    const isRestarted = former.startedAtEpochMs !== record.startedAtEpochMs;
    const isKnown =
      !isRestarted &&
      former.sequence === record.sequence &&
      former.warmUpLeftMs === record.warmUpLeftMs;
    if (isKnown) {
      return;
    }
    this.#report('record', nowMs =>
      this.warmUp.onRecord(record.warmUpLeftMs, nowMs),
    );
    if (isRestarted) {
      this.doubt('restart');
    }
  }

  /** Takes an answer to a load query. @param askedAtMs When the query was sent, on the monotonic clock in milliseconds. */
  onLoadAnswer({status, headers}: AnswerHead, askedAtMs: number): void {
    if (!this.warmUp.isConfigured) {
      return;
    }
    const leftMs = this.#options.protocol.readWarmUpLeftMs(headers);
    if (leftMs !== undefined || status < FIRST_FAILED_STATUS) {
      this.#report('load-query', nowMs =>
        this.warmUp.onAnswer({leftMs, askedAtMs}, nowMs),
      );
    }
  }

  /**
   * Called when it is unknown whether the upstream is cold.
   * @param sinceMs Answers to load queries that were sent before don't count, on the monotonic clock in milliseconds; now by default.
   */
  doubt(cause: WarmUpDoubt, sinceMs = this.#options.clock.now()): void {
    const mayBeRestart = cause !== 'unanswered';
    this.#report(cause, () => this.warmUp.onDoubt(sinceMs, mayBeRestart));
  }

  #report(source: WarmUpSource, learn: (nowMs: number) => void): void {
    const nowMs = this.#options.clock.now();
    const wasCold = this.warmUp.isCold(nowMs);
    learn(nowMs);
    if (!wasCold && this.warmUp.isCold(nowMs)) {
      this.#options.onBegin(source);
    }
  }
}
