/** One attempt of a request over HTTP, and the check of its answer. */

import {createHash} from 'node:crypto';
import {Readable} from 'node:stream';
import {setTimeout as sleep} from 'node:timers/promises';
import {outcomeSchema, parseJson, type Outcome} from '@wasabidyke/shared';
import {request, type Dispatcher} from 'undici';
import {z} from 'zod';
import type {HistoryEventOf} from '../history/index.js';
import {answerHeadSchema} from '../upstream/answer.js';

const UPLOAD_STEPS = 10;
const PROBLEM_TYPE = 'application/problem+json';

const problemSchema = z.object({reason: z.string()});

/** What an attempt came to, as the history tells it. */
export type AttemptResult = Pick<
  HistoryEventOf<'attempt-ended'>,
  | 'end'
  | 'status'
  | 'outcome'
  | 'reason'
  | 'retryAfterSeconds'
  | 'run'
  | 'answeredRequest'
  | 'answerDigest'
  | 'isWhole'
>;

/** An attempt to make. */
export interface Exchange {
  readonly url: string;
  readonly method: 'GET' | 'POST';
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  readonly uploadMs: number;
  readonly signal: AbortSignal;
}

const NO_ANSWER: AttemptResult = {
  end: 'broken',
  status: null,
  outcome: null,
  reason: null,
  retryAfterSeconds: null,
  run: null,
  answeredRequest: null,
  answerDigest: null,
  isWhole: false,
};

/** Makes an attempt. */
export async function exchange(
  dispatcher: Dispatcher,
  attempt: Exchange,
): Promise<AttemptResult> {
  try {
    const answer = await request(attempt.url, {
      dispatcher,
      method: attempt.method,
      headers: {
        ...attempt.headers,
        ...(attempt.method === 'POST' && {
          'content-length': String(attempt.body.length),
        }),
      },
      body: attempt.method === 'POST' ? toUpload(attempt) : null,
      signal: attempt.signal,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const body = Buffer.from(await answer.body.arrayBuffer());
    return readAnswer(answer, body);
  } catch (error) {
    return {...NO_ANSWER, end: toEnd(error, attempt.signal)};
  }
}

function toUpload(attempt: Exchange): Buffer | Readable {
  return attempt.uploadMs === 0
    ? attempt.body
    : Readable.from(uploadSlowly(attempt));
}

async function* uploadSlowly(attempt: Exchange): AsyncGenerator<Buffer> {
  const step = Math.max(1, Math.ceil(attempt.body.length / UPLOAD_STEPS));
  for (let start = 0; start < attempt.body.length; start += step) {
    await sleep(attempt.uploadMs / UPLOAD_STEPS);
    yield attempt.body.subarray(start, start + step);
  }
}

function toEnd(error: unknown, signal: AbortSignal): AttemptResult['end'] {
  if (signal.aborted) {
    return 'cancelled';
  }
  const {code} = error as {code?: string};
  return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT'
    ? 'refused'
    : 'broken';
}

function readAnswer(
  answer: Dispatcher.ResponseData,
  body: Buffer,
): AttemptResult {
  const {headers, statusCode} = answer;
  const retryAfter = headers['retry-after'];
  const told = {
    ...NO_ANSWER,
    end: 'answered' as const,
    status: statusCode,
    outcome: readOutcome(headers['wasabidyke-outcome']),
    retryAfterSeconds: retryAfter === undefined ? null : Number(retryAfter),
    answerDigest: createHash('sha256').update(body).digest('hex'),
  };
  const type = String(headers['content-type'] ?? '');
  if (type.startsWith(PROBLEM_TYPE)) {
    return {...told, reason: readReason(body), isWhole: true};
  }
  return statusCode === 200
    ? {...told, ...readRunAnswer(body)}
    : {...told, isWhole: true};
}

function readOutcome(header: string | string[] | undefined): Outcome | null {
  const parsed = outcomeSchema.safeParse(header);
  return parsed.success ? parsed.data : null;
}

function readReason(body: Buffer): string | null {
  const problem = problemSchema.safeParse(parseJson(body.toString()));
  return problem.success ? problem.data.reason : null;
}

function readRunAnswer(
  body: Buffer,
): Pick<AttemptResult, 'run' | 'answeredRequest' | 'isWhole'> {
  const lineEnd = body.indexOf('\n');
  const line = body.subarray(0, Math.max(lineEnd, 0)).toString();
  const head = answerHeadSchema.safeParse(parseJson(line));
  if (!head.success) {
    return {run: null, answeredRequest: null, isWhole: false};
  }
  const payload = body.subarray(lineEnd + 1);
  const digest = createHash('sha256').update(payload).digest('hex');
  const {run, request: answeredRequest, payloadBytes} = head.data;
  const isWhole =
    payload.length === payloadBytes && digest === head.data.payloadDigest;
  return {run, answeredRequest, isWhole};
}
