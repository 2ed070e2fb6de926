/** Relays idempotent and bulk requests to upstreams. */

import type {Clock} from '@wasabidyke/shared';
import {CallerSink} from './answer-sink.js';
import type {AttemptRequest} from './attempt.js';
import {createUpstreamHeaders, type CallerRequest} from './caller-request.js';
import type {RequestDispatcher} from './dispatcher.js';
import {sendProblem} from './problem.js';
import {
  hasBody,
  readBody,
  readContentLength,
  streamBody,
} from './request-body.js';

/** Bodies up to this size are buffered, so that the request can be repeated. */
const REPLAYABLE_BODY_LIMIT_BYTES = 65_536;

/** Answers up to this size are buffered until they are complete, so that another attempt can replace them. */
const ANSWER_BUFFER_LIMIT_BYTES = 65_536;

/** Handles requests that don't have to run at most once. */
export class RelayHandler {
  readonly #dispatcher: RequestDispatcher;
  readonly #clock: Clock;

  constructor(dispatcher: RequestDispatcher, clock: Clock) {
    this.#dispatcher = dispatcher;
    this.#clock = clock;
  }

  /** Relays a request and sends the answer or a problem to its caller. */
  async handle(call: CallerRequest): Promise<void> {
    const {request, response, route} = call;
    const body = await this.#prepareBody(call);
    if (body === 'answered') {
      return;
    }
    const isIdempotent = route.rule.kind === 'idempotent';
    const sink = new CallerSink(
      response,
      isIdempotent ? ANSWER_BUFFER_LIMIT_BYTES : 0,
    );
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
      get deadlineMs() {
        return call.deadlineMs;
      },
      depth: call.depth,
    });
    response.once('close', () => {
      if (!response.writableFinished) {
        dispatch.cancel();
      }
    });
    const result = await this.#dispatcher.run(dispatch);
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
    const contentLength = readContentLength(request);
    if (contentLength !== undefined && contentLength > limitBytes) {
      sendBodyTooLarge(call, limitBytes);
      return 'answered';
    }
    const isReplayable =
      route.rule.kind === 'idempotent' &&
      contentLength !== undefined &&
      contentLength <= REPLAYABLE_BODY_LIMIT_BYTES;
    if (!isReplayable) {
      return streamBody(request, limitBytes);
    }
    const read = await readBody(request, REPLAYABLE_BODY_LIMIT_BYTES);
    if (read.kind === 'body') {
      return read.body;
    }
    response.destroy();
    return 'answered';
  }
}

/** Refuses a body that is too large. */
export function sendBodyTooLarge(
  call: CallerRequest,
  limitBytes: number,
): void {
  // The rest of the body is not read, so the connection can't be reused.
  call.response.setHeader('connection', 'close');
  sendProblem(call.response, {
    reason: 'body-too-large',
    outcome: 'not-run',
    detail: `Send at most ${limitBytes} bytes.`,
  });
}
