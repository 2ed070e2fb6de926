/** The settings of a balancer: JSON with comments, checked whole. */

import {parse, printParseErrorCode, type ParseError} from 'jsonc-parser';
import {Err, Ok, type Result} from '@wasabidyke/shared';
import * as z from 'zod/mini';

const UNITS_MS: Readonly<Record<string, number>> = {ms: 1, s: 1_000};

/** A duration such as `250ms` or `2.5s`, as milliseconds. */
const durationSchema = z.pipe(
  z.string().check(
    z.regex(/^\d+(\.\d+)?(ms|s)$/, {
      error: 'Give a number and its unit, as 250ms or 2.5s.',
    }),
  ),
  z.transform(text => {
    const unit = text.endsWith('ms') ? 'ms' : 's';
    return Number(text.slice(0, -unit.length)) * UNITS_MS[unit];
  }),
);

/** An IP address and a port. */
const addressSchema = z.pipe(
  z.string().check(
    z.regex(/^[\d.]+:\d{1,5}$/, {
      error: 'Give an IP address and a port, as 192.0.2.7:8080.',
    }),
  ),
  z.transform(text => {
    const [host, port] = text.split(':');
    return {host, port: Number(port), text};
  }),
);

const nameSchema = z.string().check(z.minLength(1));
const amountSchema = z.number().check(z.minimum(0));

/** Settings of a balancer. */
export const balancerSettingsSchema = z.object({
  /** Unique among the entries. */
  name: nameSchema,
  region: nameSchema,
  zone: nameSchema,
  /** The region of each availability zone. */
  regionByZone: z.record(z.string(), z.string()),
  listen: z.object({
    /** Requests. */
    callers: addressSchema,
    /** Questions for entries. */
    entries: addressSchema,
    readiness: addressSchema,
    metrics: addressSchema,
    /** Records for the other entries of the availability zone. */
    feed: addressSchema,
  }),
  store: z.object({address: addressSchema}),
  /** Time from the signal to stop until the process is killed. */
  stopWithin: durationSchema,
  repeats: z.object({
    /** Repeats per request of a service, over all entries. */
    ratio: z.number().check(z.minimum(0), z.maximum(1)),
    slack: amountSchema,
    window: durationSchema,
  }),
  /** Load queries that one upstream may get in a second, over all entries. */
  loadQueriesPerSecond: amountSchema,
  /** What a megabyte costs, as a number of answers in time. */
  transferCosts: z.object({
    crossZonePerMegabyte: amountSchema,
    crossRegionPerMegabyte: amountSchema,
  }),
  /** How long callers may keep a list of entries. */
  entryListAge: durationSchema,
});

/** Settings of a balancer. */
export type BalancerSettings = z.infer<typeof balancerSettingsSchema>;

/** Reads settings from their text; errors name the field and what is wrong. */
export function parseBalancerSettings(
  text: string,
): Result<BalancerSettings, readonly string[]> {
  const errors: ParseError[] = [];
  const content: unknown = parse(text, errors, {allowTrailingComma: true});
  if (errors.length > 0) {
    return Err(
      errors.map(
        ({error, offset}) =>
          `settings: ${printParseErrorCode(error)} at offset ${offset}`,
      ),
    );
  }
  const parsed = balancerSettingsSchema.safeParse(content);
  if (parsed.success) {
    return Ok(parsed.data);
  }
  return Err(
    parsed.error.issues.map(
      ({path, message}) => `settings: ${path.join('.')}: ${message}`,
    ),
  );
}
