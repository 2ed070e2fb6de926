/** Connections of callers that are to be closed after their last answer. */

import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {ConnectionRefusals, type ConnectionRefusal} from '@wasabidyke/shared';
import type {DecisionLog} from '../reporting/decision-log.js';
import {toLoggedPath, type OwnAnswers} from '../reporting/own-answers.js';
import {toMalformedAnswer, toMalformedKind} from './malformed-request.js';
import {describeRefusedBytes} from './refused-bytes.js';

/** Counts the unanswered requests of each connection. */
export class CallerConnections {
  /** Answers connections outside the path of requests. */
  readonly refusals: ConnectionRefusals;
  readonly #unanswered = new WeakMap<Socket, number>();
  #isClosing = false;

  constructor(log: DecisionLog, ownAnswers: OwnAnswers) {
    this.refusals = new ConnectionRefusals({
      toAnswer: toMalformedAnswer,
      onRefused: refusal => recordRefusal(log, ownAnswers, refusal),
      onIgnored: ({url = '/'}) =>
        log.record('request.ignored', {path: toLoggedPath(url)}),
    });
  }

  /** Called when a request has arrived. */
  onRequest(socket: Socket): void {
    this.#unanswered.set(socket, (this.#unanswered.get(socket) ?? 0) + 1);
  }

  /** Called when a request is answered, or its connection is closed. */
  onAnswered(socket: Socket): void {
    this.#unanswered.set(socket, (this.#unanswered.get(socket) ?? 1) - 1);
  }

  /** Closes each connection after its next answer from now on. */
  closeAll(): void {
    this.#isClosing = true;
  }

  /** Called before an answer: closes its connection after it, unless further requests on it are already being served. */
  closeIfLast(response: ServerResponse): void {
    const {socket} = response.req;
    const isLast = (this.#unanswered.get(socket) ?? 1) <= 1;
    if ((this.#isClosing || this.refusals.isRefused(socket)) && isLast) {
      response.setHeader('connection', 'close');
    }
  }
}

function recordRefusal(
  log: DecisionLog,
  ownAnswers: OwnAnswers,
  {error, ...refusal}: ConnectionRefusal,
): void {
  const {status, reason} = toMalformedKind(error);
  const {rawPacket, bytesParsed} = error;
  const isAnswered = refusal.unanswered === 0 && !refusal.isCut;
  if (isAnswered) {
    ownAnswers.count(status, reason);
  }
  log.record('connection.refused', {
    status: isAnswered ? status : undefined,
    reason: refusal.isCut ? 'cut' : reason,
    cause: error.code,
    detail: error.reason,
    address: refusal.address,
    unanswered: refusal.unanswered,
    arrived: refusal.arrived,
    isReading: refusal.isReading,
    bytesRead: refusal.bytesRead,
    bytesParsed,
    refusedBytes: describeRefusedBytes(rawPacket, bytesParsed),
  });
}
