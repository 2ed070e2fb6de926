/** Writes answers to callers, and logs the refusals among them. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {SECOND_MS, type Clock} from '@wasabidyke/shared';
import type {CompleteAnswer} from '../exchange/exchange.js';
import type {WireProtocol} from '../exchange/wire-protocol.js';
import type {DecisionLog, LogFields} from '../reporting/decision-log.js';
import {
  isOwnAnswer,
  toTargetFields,
  type OwnAnswer,
  type OwnAnswers,
} from '../reporting/own-answers.js';
import type {RoutingTable} from '../routing/routing-table.js';
import type {BodyExcess, BodyFailure} from './body-reader.js';
import type {CallerConnections} from './caller-connections.js';
import type {ProtocolProblem} from './caller-listener.js';
import {UNCONFIRMED_REFUSAL, type DenialGate} from './denial-gate.js';
import {CHANGED_REFUSAL, STOPPING_REFUSAL} from './refusals.js';
import {toRefusalFields, type RefusedRequest} from './refusal-fields.js';
import type {AccountChange, RoutingRejection} from './request-router.js';
import {statusOf, type Refusal, type RoutedRequest} from './routed-request.js';

/** Options of `CallerAnswers`. */
export interface CallerAnswersOptions {
  readonly connections: CallerConnections;
  readonly protocol: WireProtocol;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly ownAnswers: OwnAnswers;
  readonly denialGate: DenialGate;
  /** Returns the current routing table; undefined before the first configuration. */
  readonly table: () => RoutingTable | undefined;
}

/** Delay after which a caller may try again whose body found no memory, in milliseconds: another upload has ended by then, or another entry has room. */
const MEMORY_RETRY_AFTER_MS = 250;

/** Answers callers. */
export class CallerAnswers {
  readonly #options: CallerAnswersOptions;

  constructor(options: CallerAnswersOptions) {
    this.#options = options;
  }

  /** Writes the answer of an upstream. */
  sendAnswer(
    response: ServerResponse,
    request: RoutedRequest,
    answer: CompleteAnswer,
  ): void {
    const headers = this.#options.protocol.toCallerHeaders(answer.headers);
    const hasBody =
      request.method !== 'HEAD' &&
      answer.status !== 204 &&
      answer.status !== 304;
    if (hasBody) {
      headers['content-length'] = String(answer.body.length);
    }
    this.#options.connections.closeIfLast(response);
    response.writeHead(answer.status, headers);
    response.end(hasBody ? answer.body : undefined);
  }

  /** Answers a request that the configuration doesn't allow. The log names neither the key nor the query, which may hold secrets of the caller. */
  reject(
    response: ServerResponse,
    requestId: string | undefined,
    rejection: RoutingRejection,
  ): void {
    const {route, account, table} = rejection;
    const fields = {request: requestId, route, account};
    this.#deny(response, rejection, table, fields);
  }

  /** Answers a request that breaks a rule of HTTP, as Node's server would. */
  refuseProtocol(response: ServerResponse, problem: ProtocolProblem): void {
    const {ownAnswers, protocol, table} = this.#options;
    const {req: request} = response;
    const {requestId} = protocol.readCallerMetadata(
      request.headers,
      request.rawHeaders,
    );
    const status = problem === 'no-host' ? 400 : 417;
    ownAnswers.recordRequest(
      {event: 'request.protocol-error', status, reason: problem},
      request,
      table(),
      {request: requestId, address: request.socket.remoteAddress},
    );
    response.writeHead(status, status === 400 ? {Connection: 'close'} : {});
    response.end();
  }

  /** Refuses a request whose head is over the configured limit. @param size Size of the head, in bytes. */
  refuseHead(
    response: ServerResponse,
    requestId: string | undefined,
    size: number,
    table: RoutingTable,
  ): void {
    this.#deny(
      response,
      {event: 'request.head-refused', status: 431, reason: 'head-too-large'},
      table,
      {request: requestId, size, limit: table.limits.headerBytes},
    );
  }

  /** Denies a request, or refuses it if the configuration by which it would be denied may be outdated. */
  #deny(
    response: ServerResponse,
    answer: OwnAnswer,
    table: RoutingTable,
    fields: LogFields & {readonly request: string | undefined},
  ): void {
    const {ownAnswers, denialGate, log} = this.#options;
    // An upload may end under a later configuration than it began.
    if (denialGate.mayDeny && table === this.#options.table()) {
      ownAnswers.recordRequest(answer, response.req, table, fields);
      this.send(response, answer.status, {});
      return;
    }
    log.record('request.denial-withheld', {
      ...toTargetFields(response.req),
      ...fields,
      ...ownAnswers.toBasis(table),
      reason: answer.reason,
    });
    this.refuse(response, fields.request, UNCONFIRMED_REFUSAL);
  }

  /** Refuses a request that is no longer allowed as it was routed. */
  refuseChanged(
    response: ServerResponse,
    requestId: string | undefined,
    change: RoutingRejection | AccountChange,
  ): void {
    if (change.kind === 'rejection') {
      this.reject(response, requestId, change);
      return;
    }
    this.refuse(response, requestId, CHANGED_REFUSAL);
  }

  /** Refuses a request, and logs why. */
  refuse(
    response: ServerResponse,
    requestId: string | undefined,
    refusal: Refusal,
    request?: RefusedRequest,
  ): void {
    const {log, clock, ownAnswers} = this.#options;
    const status = statusOf(refusal);
    ownAnswers.count(status, refusal.reason);
    log.record('request.refused', {
      ...this.#toBasis(status, response.req, request),
      ...toRefusalFields(requestId, refusal, request, clock.now()),
    });
    const headers: Record<string, string> = {};
    if (refusal.retryAfterMs !== undefined) {
      headers['retry-after'] = (refusal.retryAfterMs / SECOND_MS).toFixed(3);
    }
    this.send(response, status, headers);
  }

  /** What the line of an own answer below 500 tells beside the refusal. */
  #toBasis(
    status: number,
    target: IncomingMessage,
    request: RefusedRequest | undefined,
  ): LogFields {
    if (!isOwnAnswer(status)) {
      return {};
    }
    const {ownAnswers, table} = this.#options;
    const newest = table();
    const isSame = newest?.version === request?.configurationVersion;
    const basis = ownAnswers.toBasis(isSame ? newest : undefined);
    return {...toTargetFields(target), ...basis};
  }

  /** Refuses a request because this process is stopping. */
  refuseStopping(
    response: ServerResponse,
    requestId: string | undefined,
  ): void {
    this.refuse(response, requestId, STOPPING_REFUSAL);
  }

  /** Refuses a request whose body was not read whole. */
  refuseBody(
    response: ServerResponse,
    requestId: string | undefined,
    failure: BodyFailure,
    table: RoutingTable,
  ): void {
    if (failure.kind === 'too-large') {
      this.#refuseExcess(response, requestId, failure, table);
      return;
    }
    const {kind: reason} = failure;
    this.#options.log.record('request.body-refused', {
      request: requestId,
      ...toTargetFields(response.req),
      reason,
    });
    if (reason !== 'no-memory') {
      response.destroy();
      return;
    }
    // The rest of the body stays unread, so the connection can't be reused.
    response.setHeader('connection', 'close');
    const retryAfterMs = MEMORY_RETRY_AFTER_MS;
    this.refuse(response, requestId, {reason, isNotRun: true, retryAfterMs});
  }

  #refuseExcess(
    response: ServerResponse,
    requestId: string | undefined,
    {measure, size, limit, readBytes}: BodyExcess,
    table: RoutingTable,
  ): void {
    response.setHeader('connection', 'close');
    this.#deny(
      response,
      {event: 'request.body-refused', status: 413, reason: measure},
      table,
      {request: requestId, size, limit, readBytes},
    );
  }

  /** Writes an answer without a body. */
  send(
    response: ServerResponse,
    status: number,
    headers: Record<string, string>,
  ): void {
    this.#options.connections.closeIfLast(response);
    response.writeHead(status, {...headers, 'content-length': '0'});
    response.end();
  }
}
