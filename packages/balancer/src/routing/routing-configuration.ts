/** What operators configure: routes, services and the limits of callers. */

import * as z from 'zod/mini';

/** Where the requests below one prefix of one host go, and by which rules. */
export const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash. */
  prefix: z.string(),
  /** An idempotent request may run more than once, any other at most once. */
  kind: z.enum(['idempotent', 'at-most-once']),
  /** Longest time that a caller is kept waiting, in milliseconds. */
  timeoutMs: z.number().check(z.positive()),
  /** Time within which an answer is of full worth, in milliseconds. */
  targetLatencyMs: z.number().check(z.positive()),
  /** 0 is the most urgent. */
  priority: z.number(),
  /** Upstreams that one request may be sent to. */
  maximumAttempts: z.int().check(z.minimum(1)),
  /** Services that share the requests by weight. */
  targets: z
    .array(z.object({name: z.string(), weight: z.number().check(z.minimum(0))}))
    .check(z.minLength(1)),
});

/** What all upstreams of a service have in common. */
export const serviceSchema = z.object({
  name: z.string(),
  /** Path that answers at once with the load. */
  loadPath: z.string(),
  /** Connections that one upstream accepts from all entries together. */
  connections: z.int().check(z.minimum(1)),
});

/** What a caller may send, and how long it may take. */
export const callerLimitsSchema = z.object({
  headerBytes: z.int().check(z.positive()),
  bodyBytes: z.int().check(z.positive()),
  headerTimeoutMs: z.number().check(z.positive()),
  idleTimeoutMs: z.number().check(z.positive()),
});

/** A whole configuration. */
export const routingConfigurationSchema = z.object({
  /** Rises with each change. */
  version: z.int().check(z.minimum(0)),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  limits: callerLimitsSchema,
});

/** Where requests go, and by which rules. */
export type Route = z.infer<typeof routeSchema>;

/** What all upstreams of a service have in common. */
export type ServiceRule = z.infer<typeof serviceSchema>;

/** What a caller may send. */
export type CallerLimits = z.infer<typeof callerLimitsSchema>;

/** A whole configuration. */
export type RoutingConfiguration = z.infer<typeof routingConfigurationSchema>;
