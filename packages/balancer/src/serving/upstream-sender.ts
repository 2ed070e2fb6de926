/** Sends one request to selected upstreams. */

import type {Distance} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import {Exchange} from '../exchange/exchange.js';
import type {WireProtocol} from '../exchange/wire-protocol.js';
import type {Placement} from '../members/placement.js';
import type {CrashTracker} from '../suspects/crash-tracker.js';
import type {ProcessWatch} from '../suspects/process-watch.js';
import type {Attempt} from './attempt-recorder.js';
import type {RoutedRequest} from './routed-request.js';
import type {SelectedUpstream} from './upstream-selector.js';

/** What all attempts have in common, also those through another entry. */
export interface PendingAttempt {
  readonly exchange: Exchange;
  readonly startedAtMs: number;
  readonly estimateMs: number;
  readonly distance: Distance;
}

/** An attempt at an upstream. */
export interface UpstreamAttempt extends Attempt, PendingAttempt {}

/** Options of `UpstreamSender`. */
export interface UpstreamSenderOptions {
  readonly protocol: WireProtocol;
  readonly placement: Placement;
  readonly clock: Clock;
  readonly crashTracker: CrashTracker;
  readonly processWatch: ProcessWatch;
}

/** Sends a request over connections to upstreams. */
export class UpstreamSender {
  readonly #request: RoutedRequest;
  readonly #options: UpstreamSenderOptions;

  constructor(request: RoutedRequest, options: UpstreamSenderOptions) {
    this.#request = request;
    this.#options = options;
  }

  /**
   * Sends the request; undefined if the upstream has no connection or none of
   * its limit left, or its zone may not be used any more.
   * @param onEnd Called when the exchange has ended.
   */
  send(
    selected: SelectedUpstream,
    onEnd: (
      attempt: UpstreamAttempt,
      result: Awaited<Exchange['result']>,
    ) => void,
  ): UpstreamAttempt | undefined {
    const {handle, estimateMs} = selected;
    const {clock, protocol, placement} = this.#options;
    const startedAtMs = clock.now();
    // It may have asked for rest, or its zone been evacuated, since the selection.
    const mayBeSent =
      !handle.isResting(startedAtMs) &&
      placement.allows(handle, this.#request.allowedRegions);
    const connection = mayBeSent ? handle.connections.take() : undefined;
    if (connection === undefined) {
      return undefined;
    }
    if (!handle.limit.take(startedAtMs)) {
      // Another request has taken the last one since the selection.
      handle.connections.release(connection);
      return undefined;
    }
    const {method, url, headers, body, requestId} = this.#request;
    const remainingMs = this.#request.deadlineMs - startedAtMs;
    const upstreamHeaders = protocol.toUpstreamHeaders(headers, {
      remainingMs: Math.max(1, Math.floor(remainingMs)),
      upstreamId: handle.id,
    });
    const expected = {requestId, isFirst: !connection.isUsed};
    const exchange = new Exchange(
      connection,
      {method, path: url, headers: upstreamHeaders, body},
      {
        classifyAnswer: (status, answerHeaders) =>
          protocol.classifyAnswer(status, answerHeaders, expected),
        memory: handle.answerMemory,
      },
    );
    const {distance} = handle.statistics;
    const attempt = {selected, exchange, startedAtMs, estimateMs, distance};
    handle.statistics.onSend();
    const {crashTracker, processWatch} = this.#options;
    const send = crashTracker.onSend(handle);
    exchange.start();
    void exchange.result.then(result => {
      handle.release(connection, exchange);
      if (processWatch.onResult(handle, send, result)) {
        crashTracker.onSettled(send);
      }
      if (result.kind === 'not-sent' && !exchange.isAborted) {
        handle.onConnectFailure();
      }
      onEnd(attempt, result);
    });
    return attempt;
  }
}

/** Whether an attempt goes to an upstream, and not through another entry. */
export function isUpstreamAttempt(
  attempt: PendingAttempt,
): attempt is UpstreamAttempt {
  return 'selected' in attempt;
}
