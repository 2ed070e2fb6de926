/** What an entry tells operators, and what they send it: JSON over HTTP. */

import {
  MAXIMUM_MANIFEST_BYTES,
  loadWatchSchema,
  manifestRecordSchema,
} from '@wasabidyke/manifest';
import {timeLineEventSchema} from '@wasabidyke/shared';
import {z} from 'zod';

/** Longest identity of a submission, in characters. */
const MAXIMUM_SUBMISSION_LENGTH = 128;

/** A revision of the manifest; 0 stands for none. */
const revisionSchema = z.int().nonnegative();

/** Stages of an entry's life, as operators see them. */
export const entryStateSchema = z.enum([
  'starting',
  'joining',
  'serving',
  'draining',
  'stopped',
  'unknown',
]);

/** `GET /v1/status`: the entry that answers. */
export const entryStatusSchema = z.object({
  /** Name of the entry. */
  entry: z.string(),
  /** Random identity of this start of the process. */
  incarnation: z.string(),
  state: entryStateSchema,
  region: z.string(),
  zone: z.string(),
  /** Name of its VM. */
  vm: z.string(),
  /** Revision in force here; 0 for none. */
  revision: revisionSchema,
  /** Start of the process, ISO 8601. */
  startedAt: z.iso.datetime(),
  /** Where the manifest comes from. */
  platform: z.enum(['etcd', 'embedded']),
});

/** `POST /v1/manifest`: a manifest to be put in force. */
export const manifestSubmissionSchema = z.strictObject({
  /** The manifest's text. */
  body: z
    .string()
    .min(1)
    .refine(body => Buffer.byteLength(body) <= MAXIMUM_MANIFEST_BYTES, {
      error: `The manifest is larger than ${MAXIMUM_MANIFEST_BYTES} bytes.`,
    }),
  /** Revision that the manifest was written against; 0 where there is none. */
  basedOn: revisionSchema,
  /** Identity chosen by the submitter; the same one may be sent again. */
  submission: z
    .string()
    .regex(/^[\x21-\x7e]+$/, {error: 'Use printable ASCII without spaces.'})
    .max(MAXIMUM_SUBMISSION_LENGTH),
});

/** One thing that is wrong with a submitted manifest. */
export const findingSchema = z.object({
  code: z.string(),
  message: z.string(),
  place: z.object({
    source: z.string(),
    line: z.int(),
    column: z.int(),
    path: z.string(),
  }),
});

/** What became of a submission. */
export const submissionAnswerSchema = z.discriminatedUnion('outcome', [
  /** In force at `revision`. Status 201. */
  z.object({outcome: z.literal('accepted'), revision: revisionSchema}),
  /** This submission was accepted earlier, at `revision`. Status 200. */
  z.object({outcome: z.literal('already-accepted'), revision: revisionSchema}),
  /** Another revision stands; nothing was written. Status 409. */
  z.object({
    outcome: z.literal('superseded'),
    presentRevision: revisionSchema,
  }),
  /** The manifest is wrong; nothing was written. Status 422. */
  z.object({
    outcome: z.literal('rejected'),
    findings: z.array(findingSchema).readonly(),
  }),
  /** The store gave no answer; the manifest may or may not be in force. Status 503. */
  z.object({outcome: z.literal('unknown'), message: z.string()}),
]);

/** The revision in force at one entry, as the answering entry knows it. */
export const manifestStatusRowSchema = z.object({
  entry: z.string(),
  region: z.string(),
  zone: z.string(),
  revision: revisionSchema,
  /** Time since this was heard, in milliseconds. */
  ageMs: z.number().nonnegative(),
});

/** `GET /v1/manifest/status`. */
export const manifestStatusSchema = z.object({
  /** Highest revision that the answering entry knows. */
  latestRevision: revisionSchema,
  entries: z.array(manifestStatusRowSchema).readonly(),
});

/** One entry, as the answering entry knows it. */
export const entryRowSchema = z.object({
  entry: z.string(),
  incarnation: z.string(),
  state: entryStateSchema,
  region: z.string(),
  zone: z.string(),
  /** Address for callers. */
  address: z.string(),
  /** Address for operators, where it is known. */
  operatorAddress: z.string().optional(),
  revision: revisionSchema,
  /** Time since the entry was last heard of, in milliseconds. */
  ageMs: z.number().nonnegative(),
});

/** `GET /v1/entries`. */
export const entryListSchema = z.object({
  entries: z.array(entryRowSchema).readonly(),
});

/** One upstream, as the answering entry sees it. */
export const upstreamRowSchema = z.object({
  service: z.string(),
  name: z.string(),
  address: z.string(),
  region: z.string(),
  zone: z.string(),
  state: z.string(),
  /** Requests of this entry that run there now. */
  inFlight: z.int().nonnegative(),
  /** Recent latency in milliseconds; null before the first answer. */
  latencyMs: z.number().nonnegative().nullable(),
  /** Age of its last load report in milliseconds; null before the first. */
  reportAgeMs: z.number().nonnegative().nullable(),
  /** Open connections of this entry. */
  connections: z.int().nonnegative(),
});

/** `GET /v1/upstreams`. */
export const upstreamListSchema = z.object({
  upstreams: z.array(upstreamRowSchema).readonly(),
});

/** Rates of watching load. */
export const loadWatchRatesSchema = loadWatchSchema.omit({preference: true});

/** `GET /v1/load-watch`: the budget for watching load and its use. */
export const loadWatchStatusSchema = z.object({
  preference: loadWatchSchema.shape.preference,
  /** Budget of the whole system. */
  budget: loadWatchRatesSchema,
  /** What this entry may spend of it. */
  share: loadWatchRatesSchema,
  /** What this entry has spent since it started. */
  spent: z.object({
    requests: z.number().nonnegative(),
    bytes: z.number().nonnegative(),
    crossRegionBytes: z.number().nonnegative(),
  }),
  /** Time over which that was spent, in milliseconds. */
  spentOverMs: z.number().nonnegative(),
  /** Probes and summaries not sent because the share was spent. */
  withheld: z.number().nonnegative(),
});

/** `GET /v1/time-line`: the newest events of the answering process. */
export const timeLineSchema = z.object({
  events: z.array(timeLineEventSchema).readonly(),
});

/** `GET /v1/manifest`: the record in force. */
export const manifestAnswerSchema = manifestRecordSchema;

/** A problem document, RFC 9457. */
export const problemSchema = z.object({
  /** Stable identifier, such as `/problems/unauthorized`. */
  type: z.string(),
  title: z.string(),
  status: z.int(),
  detail: z.string(),
});

/** Stages of an entry's life, as operators see them. */
export type EntryState = z.infer<typeof entryStateSchema>;

/** The entry that answers. */
export type EntryStatus = z.infer<typeof entryStatusSchema>;

/** A manifest to be put in force. */
export type ManifestSubmission = z.infer<typeof manifestSubmissionSchema>;

/** What became of a submission. */
export type SubmissionAnswer = z.infer<typeof submissionAnswerSchema>;

/** The revision in force at one entry. */
export type ManifestStatusRow = z.infer<typeof manifestStatusRowSchema>;

/** The revisions in force at all known entries. */
export type ManifestStatus = z.infer<typeof manifestStatusSchema>;

/** One entry, as the answering entry knows it. */
export type EntryRow = z.infer<typeof entryRowSchema>;

/** One upstream, as the answering entry sees it. */
export type UpstreamRow = z.infer<typeof upstreamRowSchema>;

/** Rates of watching load. */
export type LoadWatchRates = z.infer<typeof loadWatchRatesSchema>;

/** The budget for watching load and its use. */
export type LoadWatchStatus = z.infer<typeof loadWatchStatusSchema>;

/** A problem document, RFC 9457. */
export type Problem = z.infer<typeof problemSchema>;
