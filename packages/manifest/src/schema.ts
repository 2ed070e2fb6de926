/** The manifest as operators write it: JSON with comments, checked by these schemas. */

import {
  connectionsSchema,
  hostAddressSchema,
  slotsSchema,
} from '@wasabidyke/shared';
import {z} from 'zod';

/** Longest name of anything, in characters. */
const MAXIMUM_NAME_LENGTH = 63;

/** Longest path of a rule or prefix of a service, in characters. */
const MAXIMUM_PATH_LENGTH = 256;

/** Longest timeout a rule may state: ten minutes. */
const MAXIMUM_TIMEOUT_MS = 600_000;

/** Most upstreams of one service. */
const MAXIMUM_UPSTREAMS = 2_000;

/** Most services of one manifest. */
const MAXIMUM_SERVICES = 1_000;

/** A name of anything: of a service, a region, a VM. */
export const nameSchema = z
  .string()
  .max(MAXIMUM_NAME_LENGTH)
  .regex(/^[a-z0-9]([a-z0-9-]*[a-z0-9])?$/, {
    error: 'Use lower-case letters, digits and inner hyphens.',
  });

const pathSchema = z
  .string()
  .max(MAXIMUM_PATH_LENGTH)
  .regex(/^(\/(?!\.{0,2}(\/|$))[\w\-.~!$&'()*+,;=:@%]+)*\/?$(?<=.)/, {
    error:
      'Begin with "/", use the characters of a URL path, no empty, "." or ".." segments.',
  });

/** One back end of a service. */
export const upstreamSchema = z.strictObject({
  name: nameSchema,
  /** IP address and port. */
  address: hostAddressSchema,
  region: nameSchema,
  zone: nameSchema,
  /** Name of the VM it runs on, as the VM list names it. */
  vm: nameSchema,
  /** Requests it can run at the same time. */
  slots: slotsSchema,
  /** Connections it accepts from all entries together. */
  connections: connectionsSchema,
  /** Set when the upstream is to receive no new work. */
  leaving: z.boolean().default(false),
});

/** How often a request may be run, and how it is carried. */
export const requestKindSchema = z.enum(['idempotent', 'at-most-once', 'bulk']);

/** The rules of one kind of request. */
export const requestRuleSchema = z.strictObject({
  name: nameSchema,
  /** Methods it applies to. */
  methods: z.array(z.string().regex(/^[A-Z]+$/)).min(1),
  /** Path below the service's prefix at which it applies; the longest match wins. */
  path: pathSchema.default('/'),
  kind: requestKindSchema,
  /** Time from arrival to the end of the answer, in milliseconds. */
  timeoutMs: z.int().min(1).max(MAXIMUM_TIMEOUT_MS),
  /** Further attempts after the first, for idempotent requests alone. */
  retries: z.int().min(0).max(10).default(0),
  /** Whether a second attempt may be made while the first is still under way, for idempotent requests alone. */
  hedge: z.boolean().default(false),
  /** Under overload, larger numbers are served first. */
  priority: z.int().min(0).max(9).default(5),
  /** Which regions' upstreams may serve it. */
  regions: z.enum(['local-first', 'local-only']).default('local-first'),
});

/** How upstreams are chosen. */
export const selectionPolicySchema = z.enum([
  'random',
  'round-robin',
  'least-in-flight',
  'two-choices',
  'two-choices-reported',
  'hot-cold',
]);

/** One service, its upstreams and the rules of its requests. */
export const serviceSchema = z.strictObject({
  name: nameSchema,
  /** Requests whose path starts with this belong to the service. Default: its name. */
  pathPrefix: pathSchema.optional(),
  policy: selectionPolicySchema.default('hot-cold'),
  /** Requests that may wait for an upstream, in one entry. */
  queueLimit: z.int().min(0).max(100_000).default(256),
  requests: z.array(requestRuleSchema).min(1),
  upstreams: z.array(upstreamSchema).min(1).max(MAXIMUM_UPSTREAMS),
});

/** What watching the load of upstreams may cost, over the whole system. */
export const loadWatchSchema = z.strictObject({
  /** Whether tail latency or the cost of watching weighs more. */
  preference: z.enum(['tail-first', 'cost-first']),
  requestsPerSecond: z.number().min(0),
  bytesPerSecond: z.number().min(0),
  crossRegionBytesPerSecond: z.number().min(0),
});

/** A region and its availability zones. */
export const regionSchema = z.strictObject({
  name: nameSchema,
  zones: z.array(nameSchema).min(1),
});

/** The whole manifest. */
export const manifestSchema = z.strictObject({
  name: nameSchema,
  regions: z.array(regionSchema).min(1),
  entries: z.strictObject({
    /** The greatest number of entries that run at the same time. */
    maximum: z.int().min(1).max(10_000),
    /** How long a caller may keep an answer that names entries, in seconds. */
    listMaximumAgeSeconds: z.int().min(1).max(3_600).default(10),
    /** Share of all requests that may be added by retries. */
    retryShare: z.number().min(0).max(1).default(0.1),
    /** Largest body of a request, in bytes. */
    maximumBodyBytes: z.int().min(1).default(268_435_456),
  }),
  loadWatch: loadWatchSchema,
  services: z.array(serviceSchema).min(1).max(MAXIMUM_SERVICES),
});

/** The whole manifest. */
export type Manifest = z.infer<typeof manifestSchema>;

/** One service. */
export type Service = z.infer<typeof serviceSchema>;

/** One back end of a service. */
export type Upstream = z.infer<typeof upstreamSchema>;

/** The rules of one kind of request. */
export type RequestRule = z.infer<typeof requestRuleSchema>;

/** How often a request may be run, and how it is carried. */
export type RequestKind = z.infer<typeof requestKindSchema>;

/** How upstreams are chosen. */
export type SelectionPolicyName = z.infer<typeof selectionPolicySchema>;

/** What watching load may cost. */
export type LoadWatch = z.infer<typeof loadWatchSchema>;
