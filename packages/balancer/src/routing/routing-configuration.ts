/** Schema of the routing configuration: routes, services and limits for callers. */

import * as z from 'zod/mini';

/** Schema of a route: rules for the requests below one path prefix of one host. */
export const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Path prefix that begins and ends with a slash. */
  prefix: z.string(),
  /** An idempotent request may run more than once, any other one at most once. */
  kind: z.enum(['idempotent', 'at-most-once']),
  /** Longest time until a caller gets an answer, in milliseconds. */
  timeoutMs: z.number().check(z.positive()),
  /** Time within which an answer has its full value, in milliseconds. */
  targetLatencyMs: z.number().check(z.positive()),
  /** 0 is the most urgent. */
  priority: z.number(),
  /** Limit of attempts for one request, each at another upstream. */
  maximumAttempts: z.int().check(z.minimum(1)),
  /** Services among which requests are divided by weight. */
  targets: z
    .array(z.object({name: z.string(), weight: z.number().check(z.minimum(0))}))
    .check(z.minLength(1)),
  /** Regions whose upstreams may serve the requests; empty if all may. */
  allowedRegions: z._default(z.array(z.string()), []),
  /** Whether requests need no key of a client account. */
  isPublic: z._default(z.boolean(), false),
});

/** Schema of a client account: who sends requests, and what it may send. */
export const clientAccountSchema = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  /** Takes precedence over the priority of the route; 0 is the most urgent. */
  priority: z.optional(z.number()),
  /** Quota over all entries; 0 if there is none. */
  requestsPerSecond: z.number(),
  /** Requests beyond the rate that may follow each other at once. */
  burst: z.number(),
  /** Regions whose upstreams may serve the requests; empty if all may. */
  allowedRegions: z.array(z.string()),
});

/** Schema of a service: properties that all its upstreams share. */
export const serviceSchema = z.object({
  name: z.string(),
  /** Path of load queries; upstreams answer them at once. */
  loadPath: z.string(),
  /** Limit of connections to one upstream, from all entries together. */
  connections: z.int().check(z.minimum(1)),
  /** Set if upstreams that have just started take only a few requests. */
  warmUp: z.optional(
    z.object({
      durationMs: z.number().check(z.minimum(0)),
      /** Requests per second to one upstream in warm-up, from all entries together. */
      requestsPerSecond: z.number().check(z.positive()),
    }),
  ),
});

/** Schema of the limits on callers' requests and connections. */
export const callerLimitsSchema = z.object({
  headerBytes: z.int().check(z.positive()),
  bodyBytes: z.int().check(z.positive()),
  /** Time until all headers of a request must have arrived. */
  headerTimeoutMs: z.number().check(z.positive()),
  /** Time after which an idle connection is closed. */
  idleTimeoutMs: z.number().check(z.positive()),
});

/** Schema of a complete configuration. */
export const routingConfigurationSchema = z.object({
  /** Increases with each change. */
  version: z.int().check(z.minimum(0)),
  routes: z.readonly(z.array(routeSchema)),
  services: z.array(serviceSchema),
  limits: callerLimitsSchema,
  /** Undefined if the deployment has no client accounts. */
  accounts: z.optional(z.readonly(z.array(clientAccountSchema))),
});

/** Rules for the requests below one path prefix of one host. */
export type Route = z.infer<typeof routeSchema>;

/** Who sends requests, and what it may send. */
export type ClientAccount = z.infer<typeof clientAccountSchema>;

/** Properties that all upstreams of a service share. */
export type ServiceConfiguration = z.infer<typeof serviceSchema>;

/** Limits on callers' requests and connections. */
export type CallerLimits = z.infer<typeof callerLimitsSchema>;

/** A complete routing configuration. */
export type RoutingConfiguration = z.infer<typeof routingConfigurationSchema>;
