/** Settings of the upstream stand-in, and the faults that its control port sets. */

import {z} from 'zod';

const addressSchema = z.string().regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/);

/** How long runs take. Slept, not burnt; whole milliseconds, rounded at random. */
export const serviceTimeSchema = z.strictObject({
  meanMs: z.number().min(0),
  distribution: z
    .enum(['constant', 'exponential', 'log-normal'])
    .default('exponential'),
  /** Standard deviation of the logarithm, for `log-normal`. */
  sigma: z.number().min(0).default(1),
});

/** A neighbour on a VM that slows its workers at random times. */
export const noiseSchema = z.strictObject({
  /** Service times are multiplied by this while the neighbour is busy. */
  factor: z.number().min(1),
  meanBusyMs: z.number().positive(),
  meanQuietMs: z.number().positive(),
});

/** What may go wrong at a worker. */
export const faultsSchema = z.strictObject({
  /** Multiplies service times: a straggler. */
  slowFactor: z.number().min(0).default(1),
  /** Refuses every request before running it. */
  shed: z.boolean().default(false),
  /** Answers 500 at once without running the request. */
  failFast: z.boolean().default(false),
  /** Runs the request and never answers. */
  hang: z.boolean().default(false),
  /** Closes the connection after half of the answer. */
  cutHalfway: z.boolean().default(false),
  /** Waits this long after the run before it answers. */
  answerLateMs: z.number().min(0).default(0),
  /** Says on every answer that it is leaving. */
  leaving: z.boolean().default(false),
  /** The process dies on a request whose URL contains this. */
  crashMarker: z.string().nullable().default(null),
  /** Reported in place of the requests in flight. */
  liedRequestsInFlight: z.number().nullable().default(null),
  /** Reports tell the load of this long ago. */
  reportLagMs: z.number().min(0).default(0),
});

/** One worker. */
export const workerSettingsSchema = z.strictObject({
  name: z.string().min(1),
  /** IP address and port; port 0 takes a free one, which the ready line tells. */
  address: addressSchema,
  service: z.string().min(1),
  vm: z.string().min(1),
  slots: z.int().min(1).default(4),
  /** Requests that may wait for a slot; further ones are shed. */
  queueLimit: z.int().min(0).default(100),
  /** Connections accepted at a time. */
  connections: z.int().min(1).default(10_000),
  /** Delay of the first request on a new connection. */
  connectMs: z.number().min(0).default(0),
  serviceTime: serviceTimeSchema.prefault({meanMs: 5}),
  /** The first runs take up to `factor` times as long, falling to 1. */
  coldStart: z
    .strictObject({runs: z.int().min(1), factor: z.number().min(1)})
    .optional(),
  faults: faultsSchema.prefault({}),
});

/** Settings of one process. */
export const upstreamSettingsSchema = z.strictObject({
  process: z.string().min(1).default('upstream'),
  control: addressSchema.default('127.0.0.1:0'),
  seed: z.int().default(1),
  /** File for the history; none is kept without. */
  historyFile: z.string().optional(),
  /** Noise of each VM, by its name. */
  noise: z.record(z.string(), noiseSchema).default({}),
  /** Hands each request to the least loaded worker of its service in this process. */
  isOracle: z.boolean().default(false),
  /** After SIGTERM, the process ends once it was idle for this long. */
  idleBeforeExitMs: z.number().min(0).default(1_000),
  workers: z.array(workerSettingsSchema).min(1).max(2_000),
});

/** A change made through the control port. */
export const controlChangeSchema = z.strictObject({
  /** Names of workers; all when absent. */
  workers: z.array(z.string()).optional(),
  faults: faultsSchema.partial().optional(),
  serviceTime: serviceTimeSchema.optional(),
  isOracle: z.boolean().optional(),
});

/** How long runs take. */
export type ServiceTime = z.infer<typeof serviceTimeSchema>;

/** A neighbour that slows a VM. */
export type Noise = z.infer<typeof noiseSchema>;

/** What may go wrong at a worker. */
export type Faults = z.infer<typeof faultsSchema>;

/** One worker. */
export type WorkerSettings = z.infer<typeof workerSettingsSchema>;

/** Settings of one process. */
export type UpstreamSettings = z.infer<typeof upstreamSettingsSchema>;

/** A change made through the control port. */
export type ControlChange = z.infer<typeof controlChangeSchema>;
