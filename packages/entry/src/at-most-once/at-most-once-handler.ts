/**
 * Answers requests that must run at most once. Only the entry that is the home
 * of an idempotency key runs its request; every other entry forwards it there.
 */

import {createHash} from 'node:crypto';
import type {Clock} from '@wasabidyke/shared';
import type {StopDeadline} from '../control/stop-deadline.js';
import {RecordingSink, sendRecordedAnswer} from '../data-path/answer-sink.js';
import {
  createUpstreamHeaders,
  type CallerRequest,
} from '../data-path/caller-request.js';
import type {DispatchResult} from '../data-path/dispatch-job.js';
import type {RequestDispatcher} from '../data-path/dispatcher.js';
import {
  FORWARDED_HEADER,
  IDEMPOTENCY_KEY_HEADER,
  REPLAYED_HEADER,
} from '../data-path/headers.js';
import {
  sendProblem,
  type Problem,
  type ProblemReason,
} from '../data-path/problem.js';
import {sendBodyTooLarge} from '../data-path/relay-handler.js';
import {readBody} from '../data-path/request-body.js';
import type {AdoptedLedgers} from '../at-most-once/adopted-ledgers.js';
import type {HomeForwarder} from '../at-most-once/home-forwarder.js';
import {
  parseHomeKey,
  type HomeKey,
  type HomeTokenIssuer,
} from '../at-most-once/home-token.js';
import type {Ledger, Run, RunResult} from './run-ledger.js';

/** Limit of the body of a request that must run at most once. */
const BODY_LIMIT_BYTES = 1_048_576;

/** Limit of the body of an answer that is kept for resends. */
const ANSWER_LIMIT_BYTES = 1_048_576;

/** A run may take this many times the caller's timeout, since a resend can still get its answer. */
const RUN_TIMEOUT_FACTOR = 2;

/** Options of `AtMostOnceHandler`. */
export interface AtMostOnceHandlerOptions {
  readonly issuer: HomeTokenIssuer;
  readonly ledger: Ledger;
  readonly adopted: AdoptedLedgers;
  readonly forwarder: HomeForwarder;
  readonly dispatcher: RequestDispatcher;
  readonly clock: Clock;
  readonly stopDeadline: StopDeadline;
}

/** A request with its parsed key and its complete body. */
export interface KeyedRequest {
  readonly call: CallerRequest;
  readonly key: HomeKey;
  readonly body: Buffer;
  /** Digest of the method, the URL and the body. */
  readonly fingerprint: string;
}

/** Runs or forwards requests that must run at most once, and answers their resends. */
export class AtMostOnceHandler {
  readonly #options: AtMostOnceHandlerOptions;
  #isDraining = false;

  constructor(options: AtMostOnceHandlerOptions) {
    this.#options = options;
  }

  /** Refuses new keys from now on; requests with known keys are still answered. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /** Answers a request; refuses one without a valid idempotency key. */
  async handle(call: CallerRequest): Promise<void> {
    const text = call.request.headers[IDEMPOTENCY_KEY_HEADER];
    if (typeof text !== 'string') {
      const detail =
        'Send Idempotency-Key: <home token>:<unique part>, with a token from /v1/entries.';
      refuse(call, 'key-required', 'not-run', detail);
      return;
    }
    const key = parseHomeKey(text);
    if (key === undefined) {
      const detail = 'A key is <home token>:<1 to 128 visible characters>.';
      refuse(call, 'bad-idempotency-key', 'not-run', detail);
      return;
    }
    const read = await readBody(call.request, BODY_LIMIT_BYTES);
    if (read.kind === 'too-large') {
      sendBodyTooLarge(call, BODY_LIMIT_BYTES);
    } else if (read.kind === 'broken-off') {
      call.response.destroy();
    } else {
      const fingerprint = toFingerprint(call, read.body);
      await this.#route({call, key, body: read.body, fingerprint});
    }
  }

  async #route(keyed: KeyedRequest): Promise<void> {
    const {issuer, adopted, forwarder} = this.#options;
    const {home} = keyed.key;
    if (issuer.isOwn(home)) {
      this.#handleOwnKey(keyed);
      return;
    }
    const known = adopted.find(keyed.key);
    if (known !== 'not-adopted') {
      this.#handleAdoptedKey(keyed, known);
      return;
    }
    const isForwarded =
      keyed.call.request.headers[FORWARDED_HEADER] !== undefined;
    if (isForwarded) {
      this.#refuseUnknownKey(keyed, 'home-gone', 'This entry is not its home.');
      return;
    }
    await forwarder.forward(keyed);
  }

  #handleOwnKey(keyed: KeyedRequest): void {
    const {issuer, ledger} = this.#options;
    const {issue} = keyed.key.home;
    if (issuer.isFromFuture(issue)) {
      const detail = 'Its home never issued this token.';
      refuse(keyed.call, 'bad-idempotency-key', 'not-run', detail);
      return;
    }
    if (issuer.isExpired(issue)) {
      const detail = 'What became of it is no longer known.';
      this.#refuseUnknownKey(keyed, 'key-lapsed', detail);
      return;
    }
    if (this.#isDraining && !ledger.has(keyed.key)) {
      const detail = 'Take another entry as the home of a new key.';
      refuse(keyed.call, 'draining', 'not-run', detail);
      return;
    }
    const admission = ledger.admit(keyed.key, keyed.fingerprint);
    switch (admission.kind) {
      case 'run':
        this.#answerWhenEnded(keyed, admission.run, false);
        void this.#run(keyed, admission.run);
        return;
      case 'known':
        this.#answerWhenEnded(keyed, admission.run, true);
        return;
      case 'other-request': {
        const detail = 'Use a new key for a new request.';
        refuse(keyed.call, 'key-reused', 'not-run', detail);
        return;
      }
      case 'full': {
        const detail = 'Take another entry as its home.';
        refuse(keyed.call, 'ledger-full', 'not-run', detail);
        return;
      }
    }
  }

  /** Answers from an adopted ledger: a key that is absent from it was never run by its home. */
  #handleAdoptedKey(keyed: KeyedRequest, run: Run | undefined): void {
    if (run === undefined) {
      const detail = 'Its home has stopped and never ran it; take a new key.';
      refuse(keyed.call, 'home-gone', 'not-run', detail);
    } else if (run.fingerprint !== keyed.fingerprint) {
      const detail = 'Use a new key for a new request.';
      refuse(keyed.call, 'key-reused', 'not-run', detail);
    } else {
      this.#answerWhenEnded(keyed, run, true);
    }
  }

  async #run(keyed: KeyedRequest, run: Run): Promise<void> {
    const {call, body} = keyed;
    const {dispatcher, ledger, clock, stopDeadline} = this.#options;
    const nowMs = clock.now();
    const sink = new RecordingSink(ANSWER_LIMIT_BYTES);
    const headers = createUpstreamHeaders(call, nowMs);
    delete headers['transfer-encoding'];
    headers['content-length'] = String(body.length);
    const dispatch = dispatcher.dispatch({
      service: call.route.service,
      rule: call.route.rule,
      request: {
        method: call.request.method ?? 'POST',
        path: call.request.url ?? '/',
        headers,
        body,
      },
      sink,
      get deadlineMs() {
        const runEndsAtMs = nowMs + call.timeoutMs * RUN_TIMEOUT_FACTOR;
        return Math.min(runEndsAtMs, stopDeadline.endsAtMs);
      },
      depth: call.depth,
    });
    const result = await dispatcher.run(dispatch);
    ledger.finish(run, toRunResult(result, sink));
  }

  #answerWhenEnded(keyed: KeyedRequest, run: Run, isResend: boolean): void {
    const {call} = keyed;
    if (run.result !== undefined) {
      sendRunResult(call, run.result, isResend);
      return;
    }
    const stopListening = run.onEnd(result => {
      clearTimeout(timer);
      sendRunResult(call, result, isResend);
    });
    const timer = setTimeout(() => {
      stopListening();
      const detail = 'It is still running; send the same key again.';
      refuse(call, 'deadline-exceeded', 'unknown', detail);
    }, call.deadlineMs - this.#options.clock.now());
    call.response.once('close', () => {
      clearTimeout(timer);
      stopListening();
    });
  }

  /** Refuses a request without a record of its key: only a first attempt has certainly not run. */
  #refuseUnknownKey(
    keyed: KeyedRequest,
    reason: ProblemReason,
    detail: string,
  ): void {
    const isFirstAttempt = keyed.call.attempt === 1;
    refuse(keyed.call, reason, isFirstAttempt ? 'not-run' : 'unknown', detail);
  }
}

function toRunResult(result: DispatchResult, sink: RecordingSink): RunResult {
  if (result.kind === 'answered') {
    return {kind: 'done', answer: sink.answer};
  }
  if (result.kind === 'broken-off') {
    const problem: Problem = {
      reason: 'upstream-failed',
      outcome: 'unknown',
      detail: 'The upstream broke off.',
    };
    return {kind: 'unknown', problem};
  }
  const {problem} = result;
  const kind = problem.outcome === 'not-run' ? 'not-run' : 'unknown';
  return {kind, problem};
}

function sendRunResult(
  call: CallerRequest,
  result: RunResult,
  isResend: boolean,
): void {
  const {response} = call;
  if (response.headersSent || response.destroyed) {
    return;
  }
  if (result.kind !== 'done') {
    sendProblem(response, result.problem);
  } else if (result.answer === undefined) {
    const detail = `Answers of this kind go up to ${ANSWER_LIMIT_BYTES} bytes.`;
    refuse(call, 'answer-too-large', 'ran', detail);
  } else {
    const extra = isResend ? {[REPLAYED_HEADER]: 'true'} : {};
    sendRecordedAnswer(response, result.answer, extra);
  }
}

function refuse(
  call: CallerRequest,
  reason: ProblemReason,
  outcome: Problem['outcome'],
  detail: string,
): void {
  if (!call.response.headersSent) {
    sendProblem(call.response, {reason, outcome, detail});
  }
}

function toFingerprint(call: CallerRequest, body: Buffer): string {
  const {method, url} = call.request;
  const hash = createHash('sha256').update(`${method}\n${url}\n`).update(body);
  return hash.digest('base64url');
}
