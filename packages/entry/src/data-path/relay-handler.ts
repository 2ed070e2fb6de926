/** Answers idempotent and bulk requests: relays them to upstreams. */

import type {Clock} from '@wasabidyke/shared';
import {CallerSink} from './answer-sink.js';
import type {AttemptRequest} from './attempt.js';
import {createUpstreamHeaders, type CallerRequest} from './caller-request.js';
import type {RequestDispatcher} from './dispatcher.js';
import {sendProblem} from './problem.js';
import {
  hasBody,
  readBody,
  readStatedLength,
  streamBody,
} from './request-body.js';

/** Bodies up to this size are kept, so that the request can be sent again. */
const REPLAY_LIMIT_BYTES = 65_536;

/** Answers up to this size are held until they are whole, so that another attempt can replace them. */
const HOLD_LIMIT_BYTES = 65_536;

/** Relays requests that may be run more than once. */
export class RelayHandler {
  readonly #dispatcher: RequestDispatcher;
  readonly #clock: Clock;

  constructor(dispatcher: RequestDispatcher, clock: Clock) {
    this.#dispatcher = dispatcher;
    this.#clock = clock;
  }

  /** Answers a request. */
  async handle(call: CallerRequest): Promise<void> {
    const {request, response, route} = call;
    const body = await this.#prepareBody(call);
    if (body === 'answered') {
      return;
    }
    const isIdempotent = route.rule.kind === 'idempotent';
    const sink = new CallerSink(response, isIdempotent ? HOLD_LIMIT_BYTES : 0);
    const dispatch = this.#dispatcher.dispatch({
      service: route.service,
      rule: route.rule,
      request: {
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        headers: createUpstreamHeaders(call, this.#clock.now()),
        body,
      },
      sink,
      deadlineMs: call.deadlineMs,
      depth: call.depth,
    });
    response.once('close', () => {
      if (!response.writableFinished) {
        dispatch.cancel();
      }
    });
    const result = await dispatch.run();
    if (result.kind === 'problem' && !response.headersSent) {
      sendProblem(response, result.problem);
    } else if (result.kind === 'broken-off') {
      response.destroy();
    }
  }

  async #prepareBody(
    call: CallerRequest,
  ): Promise<AttemptRequest['body'] | 'answered'> {
    const {request, response, route, snapshot} = call;
    if (!hasBody(request)) {
      return null;
    }
    const limitBytes = snapshot.manifest.entries.maximumBodyBytes;
    const statedBytes = readStatedLength(request);
    if (statedBytes !== undefined && statedBytes > limitBytes) {
      sendTooLarge(call, limitBytes);
      return 'answered';
    }
    const isKept =
      route.rule.kind === 'idempotent' &&
      statedBytes !== undefined &&
      statedBytes <= REPLAY_LIMIT_BYTES;
    if (!isKept) {
      return streamBody(request, limitBytes);
    }
    const read = await readBody(request, REPLAY_LIMIT_BYTES);
    if (read.kind === 'body') {
      return read.body;
    }
    response.destroy();
    return 'answered';
  }
}

/** Refuses a body that is too large. */
export function sendTooLarge(call: CallerRequest, limitBytes: number): void {
  // The rest of the body is not read: the connection cannot be used again.
  call.response.setHeader('connection', 'close');
  sendProblem(call.response, {
    reason: 'body-too-large',
    outcome: 'not-run',
    detail: `Send at most ${limitBytes} bytes.`,
  });
}
