/** Sends requests to upstreams for other entries, which don't reach these. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Clock} from '@wasabidyke/shared';
import {
  combineAllowedRegions,
  intersectAllowedRegions,
  isRegionAllowed,
  type AllowedRegions,
} from '../routing/allowed-regions.js';
import type {OwnAnswers} from '../reporting/own-answers.js';
import type {RoutingTable} from '../routing/routing-table.js';
import {canBeFinished} from '../serving/attempt-timing.js';
import {readBody} from '../serving/body-reader.js';
import type {DispatchResult} from '../serving/dispatch-result.js';
import type {RequestDispatcherOptions} from '../serving/dispatcher-options.js';
import {PLACEMENT_RETRY_AFTER_MS} from '../serving/refusals.js';
import {RequestDispatcher} from '../serving/request-dispatcher.js';
import type {RefusalReason, RoutedRequest} from '../serving/routed-request.js';
import {
  IN_FLIGHT_HEADER,
  MAXIMUM_LINE_BYTES,
  parseRequest,
  REASON_HEADER,
  RESULT_HEADER,
  RETRY_AFTER_HEADER,
  serializeAnswer,
  type RelayedRequest,
  type RelayResult,
} from './relay-messages.js';

/** Options of `RelayReceiver`. */
export interface RelayReceiverOptions extends RequestDispatcherOptions {
  /** Returns the current routing table; undefined before the first configuration. */
  readonly table: () => RoutingTable | undefined;
  /** Whether an IP address is that of another entry. */
  readonly isEntry: (address: string) => boolean;
  /** Requests of callers in flight. */
  readonly inFlight: () => number;
  readonly clock: Clock;
  readonly ownAnswers: OwnAnswers;
}

/** Attempts of one relayed request: the entry that relays it decides on repeats. */
const RELAYED_ATTEMPTS = 1;

/** Time in which a relayed request must be complete, in milliseconds: links between entries are fast. */
const BODY_TIMEOUT_MS = 10_000;

/** Maximum number of relayed requests in flight: twice what an entry's share of a hundred upstreams' slots is, and few beside its descriptors. */
const MAXIMUM_IN_FLIGHT = 256;

/** Takes requests of other entries. */
export class RelayReceiver {
  readonly #options: RelayReceiverOptions;
  #inFlight = 0;
  #isStopping = false;
  #onIdle: (() => void) | undefined;

  constructor(options: RelayReceiverOptions) {
    this.#options = options;
  }

  /** Number of relayed requests in flight. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Refuses further requests; resolves once those in flight are answered. */
  async stop(): Promise<void> {
    this.#isStopping = true;
    if (this.#inFlight > 0) {
      await new Promise<void>(resolve => (this.#onIdle = resolve));
    }
  }

  /** Serves one request of another entry. */
  async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.#inFlight += 1;
    response.once('close', () => {
      this.#inFlight -= 1;
      if (this.#inFlight === 0) {
        this.#onIdle?.();
      }
    });
    const {isEntry, table, ownAnswers} = this.#options;
    const address = request.socket.remoteAddress ?? '';
    if (!isEntry(address)) {
      const status = 403;
      ownAnswers.record(
        {event: 'relay.foreign', status, reason: 'foreign-relay'},
        {address},
      );
      this.#turnAway(response, status);
      return;
    }
    const routing = table();
    if (routing === undefined) {
      this.#refuse(response, 'not-run', 'no-configuration', 0);
      return;
    }
    if (this.#isStopping || this.#inFlight > MAXIMUM_IN_FLIGHT) {
      const reason = this.#isStopping ? 'stopping' : 'relays-full';
      this.#refuse(response, 'not-run', reason, 0);
      return;
    }
    const limitBytes = routing.limits.bodyBytes + MAXIMUM_LINE_BYTES;
    const read = await readBody(request, {
      limitBytes,
      memory: this.#options.bodyMemory,
      withinMs: BODY_TIMEOUT_MS,
    });
    if (read.kind === 'no-memory') {
      this.#refuse(response, 'not-run', 'no-memory', 0);
      return;
    }
    if (read.kind === 'body') {
      response.once('close', read.release);
    }
    const message =
      read.kind === 'body' && read.body !== null
        ? parseRequest(read.body)
        : undefined;
    if (message === undefined) {
      const status = 400;
      const isRead = read.kind === 'body';
      const reason = isRead ? 'unreadable-relay' : `relay-${read.kind}`;
      ownAnswers.record(
        {event: 'relay.unreadable', status, reason},
        {address, size: read.kind === 'body' ? read.body?.length : undefined},
      );
      this.#turnAway(response, status);
      return;
    }
    // The body may have ended after the stop began.
    if (this.#isStopping) {
      this.#refuse(response, 'not-run', 'stopping', 0);
      return;
    }
    // The configuration may have changed while the body arrived.
    const routed = this.#toRoutedRequest(table() ?? routing, message);
    if (routed === undefined) {
      this.#refuse(response, 'not-run', 'other-configuration', 0);
      return;
    }
    const {ownRegion} = this.#options.placement.zones;
    if (!isRegionAllowed(routed.allowedRegions, ownRegion)) {
      const reason = 'no-allowed-upstream';
      this.#refuse(response, 'not-run', reason, PLACEMENT_RETRY_AFTER_MS);
      return;
    }
    if (!canBeFinished(routed, this.#options.endsAtMs())) {
      this.#refuse(response, 'not-run', 'stopping', 0);
      return;
    }
    await this.#dispatch(routed, response);
  }

  /** Undefined if this entry's configuration doesn't send such a request to that service. */
  #toRoutedRequest(
    table: RoutingTable,
    {request, body}: {request: RelayedRequest; body: Buffer | null},
  ): RoutedRequest | undefined {
    const {headers, url, service, kind, elapsedMs, remainingMs} = request;
    const host = String(headers.host ?? '');
    const route = table.findRoute(host, url);
    const isAllowed =
      route?.kind === kind && route.targets.some(({name}) => name === service);
    if (route === undefined || !isAllowed) {
      return undefined;
    }
    const nowMs = this.#options.clock.now();
    const {endsAtMs} = this.#options;
    const account =
      request.account === undefined
        ? undefined
        : table.findAccount(request.account);
    const needsAccount =
      request.account !== undefined || (table.hasAccounts && !route.isPublic);
    if (needsAccount && account === undefined) {
      return undefined;
    }
    const arrivedAtMs = nowMs - elapsedMs;
    const ownDeadlineMs = Math.min(
      nowMs + remainingMs,
      arrivedAtMs + route.timeoutMs,
    );
    return {
      requestId: request.requestId,
      method: request.method,
      url,
      // Older builds pass on what the caller sent, also its key.
      headers: this.#options.protocol.toAccountHeaders(headers, account?.name),
      body,
      callerAddress: request.callerAddress,
      host,
      route: {...route, maximumAttempts: RELAYED_ATTEMPTS},
      account,
      priority: account?.priority ?? route.priority,
      allowedRegions: intersectAllowedRegions(
        combineAllowedRegions(route.allowedRegions, account?.allowedRegions),
        toAllowedRegions(request),
      ),
      service,
      loadPath: table.findService(service)?.loadPath ?? '/',
      configurationVersion: table.version,
      arrivedAtMs,
      ownDeadlineMs,
      get deadlineMs() {
        return Math.min(ownDeadlineMs, endsAtMs());
      },
      relayed: {excluded: request.excluded},
    };
  }

  async #dispatch(
    request: RoutedRequest,
    response: ServerResponse,
  ): Promise<void> {
    if (response.destroyed) {
      return;
    }
    const dispatcher = new RequestDispatcher(request, this.#options);
    // The other entry closes its connection when its caller has left.
    const onClose = () => dispatcher.cancel();
    response.once('close', onClose);
    dispatcher.start();
    const result = await dispatcher.result;
    response.off('close', onClose);
    if (result !== undefined) {
      this.#send(response, result);
    }
  }

  #send(response: ServerResponse, result: NonNullable<DispatchResult>): void {
    if (result.kind === 'refusal') {
      const {isNotRun, reason, retryAfterMs = 0} = result.refusal;
      const kind = isNotRun ? 'not-run' : 'unknown';
      this.#refuse(response, kind, reason, retryAfterMs);
      return;
    }
    const {answer, upstream} = result;
    const body = serializeAnswer({upstream, answer});
    response.writeHead(200, {
      ...this.#toHeaders('answer'),
      'content-length': body.length,
    });
    response.end(body);
  }

  /** Answers a message that is not served: an entry that this one doesn't know yet must learn that the request has not run. */
  #turnAway(response: ServerResponse, status: 400 | 403): void {
    response.writeHead(status, {
      ...this.#toHeaders('not-run'),
      [REASON_HEADER]: 'unreached',
      connection: 'close',
      'content-length': 0,
    });
    response.end();
  }

  #refuse(
    response: ServerResponse,
    result: RelayResult,
    reason: RefusalReason,
    retryAfterMs: number,
  ): void {
    response.writeHead(200, {
      ...this.#toHeaders(result),
      [REASON_HEADER]: reason,
      [RETRY_AFTER_HEADER]: Math.round(retryAfterMs),
      'content-length': 0,
    });
    response.end();
  }

  #toHeaders(result: RelayResult): Record<string, string | number> {
    const inFlight = this.#options.inFlight() + this.#inFlight;
    return {[RESULT_HEADER]: result, [IN_FLIGHT_HEADER]: inFlight};
  }
}

/** The regions that the other entry routed the request with. Its configuration may be another version, so both lists bind. */
function toAllowedRegions({allowedRegions}: RelayedRequest): AllowedRegions {
  return allowedRegions && new Set(allowedRegions);
}
