/** Settings of the TCP link stand-in. */

import {z} from 'zod';

const addressSchema = z.string().regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/);

/** What a link does with the bytes it is given. */
export const linkModeSchema = z.enum([
  /** Carries both ways. */
  'open',
  /** Resets every connection, and new ones at once. */
  'reset',
  /** Carries nothing and says nothing; what was sent arrives once it is open again. */
  'silent',
  /** Carries towards the target alone. */
  'half-open',
  /** Resets new connections; those that are open carry both ways. */
  'refusing',
]);

/** What of a link can be changed while it runs. */
export const linkStateSchema = z.strictObject({
  mode: linkModeSchema.default('open'),
  /** Added to each direction. */
  delayMs: z.number().min(0).default(0),
});

/** One link. */
export const linkSettingsSchema = linkStateSchema.extend({
  name: z.string().min(1),
  /** Port 0 takes a free one. */
  listen: addressSchema,
  target: addressSchema,
});

/** Settings of one process. */
export const linksSettingsSchema = z.strictObject({
  control: addressSchema.default('127.0.0.1:0'),
  links: z.array(linkSettingsSchema).max(1_000),
});

/** A change made through the control port. */
export const linkChangeSchema = z.strictObject({
  /** Names of links; all when absent. */
  links: z.array(z.string()).optional(),
  mode: linkModeSchema.optional(),
  delayMs: z.number().min(0).optional(),
});

/** What of a link can be changed while it runs. */
export type LinkState = z.infer<typeof linkStateSchema>;

/** One link. */
export type LinkSettings = z.infer<typeof linkSettingsSchema>;

/** A change made through the control port. */
export type LinkChange = z.infer<typeof linkChangeSchema>;
