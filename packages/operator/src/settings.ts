/** The settings of an entry: JSON with comments, checked by this schema. */

import {nameSchema} from '@wasabidyke/manifest';
import {listenAddressSchema} from '@wasabidyke/shared';
import {z} from 'zod';

/** Most endpoints of the store that an entry may be given. */
const MAXIMUM_ENDPOINTS = 16;

/** Longest file name, URL or key prefix, in characters. */
const MAXIMUM_TEXT_LENGTH = 1_024;

/** Longest time that a planned stop may be given: as long as the longest timeout of a rule. */
const MAXIMUM_STOP_SECONDS = 600;

/** Prefix of all keys in the store where no other is set. */
const DEFAULT_PREFIX = '/wasabidyke';

const textSchema = z.string().min(1).max(MAXIMUM_TEXT_LENGTH);

const urlSchema = z.url({protocol: /^https?$/}).max(MAXIMUM_TEXT_LENGTH);

const listenerSchema = z.strictObject({
  /** IP address and port to listen on, as others reach it. */
  address: listenAddressSchema,
});

/** Where the bearer token of operators is read from: one of the two. */
export const tokenSourceSchema = z.strictObject({
  /** File that holds the token; relative to the settings file. */
  file: textSchema.optional(),
  /** Environment variable that holds the token. */
  environment: z
    .string()
    .regex(/^[A-Za-z_][A-Za-z0-9_]*$/, {
      error: 'Give the name of an environment variable.',
    })
    .optional(),
});

/** A platform with a store and a list of VMs. */
export const etcdPlatformSchema = z.strictObject({
  kind: z.literal('etcd'),
  /** Base URLs of the store's HTTP/JSON gateway. */
  endpoints: z.array(urlSchema).min(1).max(MAXIMUM_ENDPOINTS),
  /** Prefix of all keys. */
  prefix: textSchema.startsWith('/').default(DEFAULT_PREFIX),
  vmList: z.strictObject({
    /** URL that answers the list of VMs. */
    url: urlSchema,
  }),
});

/** No platform: one entry alone, with its manifest from a file and its state in memory. */
export const embeddedPlatformSchema = z.strictObject({
  kind: z.literal('embedded'),
  /** File of the first manifest; relative to the settings file. */
  manifestFile: textSchema,
});

/** All settings of an entry. */
export const settingsSchema = z.strictObject({
  /** Name of the entry; no other entry may have it. */
  name: nameSchema,
  /** Name of its VM, as the VM list names it. */
  vm: nameSchema,
  region: nameSchema,
  /** Availability zone. */
  zone: nameSchema,
  /** Listener for callers. */
  callers: listenerSchema,
  /** Listener for other entries; required unless the platform is embedded. */
  peers: listenerSchema.optional(),
  /** Listener for operators. */
  operators: listenerSchema.extend({
    /** Bearer token; required where the address is not loopback. */
    token: tokenSourceSchema.optional(),
  }),
  /** Time from the signal to stop until the process is killed, in seconds; without it, a stop lasts as long as the requests under way. */
  stopWithinSeconds: z.int().min(2).max(MAXIMUM_STOP_SECONDS).optional(),
  platform: z.discriminatedUnion('kind', [
    etcdPlatformSchema,
    embeddedPlatformSchema,
  ]),
  log: z
    .strictObject({
      /** How log lines are written to the standard error stream. */
      format: z.enum(['text', 'json']).default('text'),
    })
    .prefault({}),
});

/** All settings of an entry. */
export type Settings = z.infer<typeof settingsSchema>;

/** Where the bearer token of operators is read from. */
export type TokenSource = z.infer<typeof tokenSourceSchema>;

/** A platform with a store and a list of VMs. */
export type EtcdPlatform = z.infer<typeof etcdPlatformSchema>;

/** No platform: one entry alone. */
export type EmbeddedPlatform = z.infer<typeof embeddedPlatformSchema>;
