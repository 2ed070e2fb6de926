/** The events of a history: what each process saw, in its own file, one JSON object a line. */

import {outcomeSchema} from '@wasabidyke/shared';
import {z} from 'zod';

const baseShape = {
  /** Milliseconds on the machine's monotonic clock, which all its processes share. */
  atMs: z.number().nonnegative(),
  /** Name of the process that saw the event. */
  process: z.string(),
};

const workShape = {
  ...baseShape,
  worker: z.string(),
  /** Identity that the caller gave to its request; resends of one key keep it. */
  request: z.string(),
};

/** An upstream's worker received the head of a request. */
export const workReceivedSchema = z.strictObject({
  kind: z.literal('work-received'),
  ...workShape,
  service: z.string(),
  key: z.string().nullable(),
});

/** An upstream's worker is about to run a request. */
export const runBeganSchema = z.strictObject({
  kind: z.literal('run-began'),
  ...workShape,
  service: z.string(),
  key: z.string().nullable(),
  run: z.string(),
  /** SHA-256 of the request's body, in hexadecimal. */
  requestDigest: z.string(),
});

/** An upstream's worker ended a run. */
export const runEndedSchema = z.strictObject({
  kind: z.literal('run-ended'),
  ...workShape,
  run: z.string(),
  end: z.enum(['answered', 'cancelled']),
});

/** An upstream's worker refused a request before running it. */
export const workShedSchema = z.strictObject({
  kind: z.literal('work-shed'),
  ...workShape,
});

/** An upstream's process is about to crash on a request. */
export const crashedSchema = z.strictObject({
  kind: z.literal('crashed'),
  ...workShape,
  service: z.string(),
});

/** A departure became known by one of the ways it can be learned. */
export const leavingToldSchema = z.strictObject({
  kind: z.literal('leaving-told'),
  ...baseShape,
  worker: z.string(),
  way: z.enum(['manifest', 'vm-list', 'signal']),
});

/** The load endpoint of a worker was read. Bytes are those of the connection, heads included. */
export const loadReadSchema = z.strictObject({
  kind: z.literal('load-read'),
  ...baseShape,
  worker: z.string(),
  bytes: z.number().nonnegative(),
});

/** A caller sends an attempt of a request. */
export const attemptSentSchema = z.strictObject({
  kind: z.literal('attempt-sent'),
  ...baseShape,
  request: z.string(),
  key: z.string().nullable(),
  /** Counts from 1. */
  attempt: z.int().min(1),
  entry: z.string(),
  service: z.string(),
  rule: z.enum(['idempotent', 'at-most-once', 'bulk']),
  requestDigest: z.string(),
  /** Whether the entry was named by a list that was still of its stated age. */
  isListFresh: z.boolean(),
});

/** What an attempt came to. */
export const attemptEndSchema = z.enum([
  /** A whole answer arrived. */
  'answered',
  /** The transfer broke after the request or a part of it was sent. */
  'broken',
  /** No connection could be opened. */
  'refused',
  /** The caller itself gave up. */
  'cancelled',
]);

/** A caller's attempt ended. */
export const attemptEndedSchema = z.strictObject({
  kind: z.literal('attempt-ended'),
  ...baseShape,
  request: z.string(),
  key: z.string().nullable(),
  attempt: z.int().min(1),
  entry: z.string(),
  service: z.string(),
  end: attemptEndSchema,
  status: z.int().nullable(),
  /** What the system said of the request; null where it relayed an upstream's own answer. */
  outcome: outcomeSchema.nullable(),
  reason: z.string().nullable(),
  retryAfterSeconds: z.number().nullable(),
  /** The run that the answer claims to come from; null for answers of the system itself. */
  run: z.string().nullable(),
  /** The request that the answer claims to be for. */
  answeredRequest: z.string().nullable(),
  /** SHA-256 of the answer's body as received. */
  answerDigest: z.string().nullable(),
  /** Whether the payload has the stated length and digest. */
  isWhole: z.boolean(),
});

/** The revision that an entry said was in force; null when it did not answer. */
export const revisionSeenSchema = z.strictObject({
  kind: z.literal('revision-seen'),
  ...baseShape,
  entry: z.string(),
  /** Random part of the entry's process. */
  incarnation: z.string(),
  revision: z.int().nonnegative().nullable(),
});

/** An operator's submission was answered. */
export const submissionAnsweredSchema = z.strictObject({
  kind: z.literal('submission-answered'),
  ...baseShape,
  submission: z.string(),
  basedOn: z.int().nonnegative(),
  answer: z.enum(['accepted', 'refused', 'unknown']),
  /** The accepted revision, or the present one that a refusal names. */
  revision: z.int().nonnegative().nullable(),
});

/** The runner causes or ends a fault. */
export const faultSchema = z.strictObject({
  kind: z.literal('fault'),
  ...baseShape,
  fault: z.string(),
  target: z.string(),
  phase: z.enum(['begin', 'end']),
});

/** A process was asked to stop gracefully, or has ended. */
export const stopSchema = z.strictObject({
  kind: z.literal('stop'),
  ...baseShape,
  target: z.string(),
  phase: z.enum(['asked', 'ended']),
  /** Exit status once ended; null when a signal ended it. */
  status: z.int().nullable(),
});

/** A budget for watching load was accepted; the first one stands from the start. */
export const budgetSetSchema = z.strictObject({
  kind: z.literal('budget-set'),
  ...baseShape,
  requestsPerSecond: z.number().nonnegative(),
  bytesPerSecond: z.number().nonnegative(),
});

/** One event of a history. */
export const historyEventSchema = z.discriminatedUnion('kind', [
  workReceivedSchema,
  runBeganSchema,
  runEndedSchema,
  workShedSchema,
  crashedSchema,
  leavingToldSchema,
  loadReadSchema,
  attemptSentSchema,
  attemptEndedSchema,
  revisionSeenSchema,
  submissionAnsweredSchema,
  faultSchema,
  stopSchema,
  budgetSetSchema,
]);

/** One event of a history. */
export type HistoryEvent = z.infer<typeof historyEventSchema>;

/** The kinds of events. */
export type HistoryEventKind = HistoryEvent['kind'];

/** The event of one kind. */
export type HistoryEventOf<Kind extends HistoryEventKind> = Extract<
  HistoryEvent,
  {kind: Kind}
>;
