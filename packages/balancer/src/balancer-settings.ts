/** Settings of a balancer: JSON with comments, validated against a schema. */

import {parse, printParseErrorCode, type ParseError} from 'jsonc-parser';
import {
  durationSchema,
  Err,
  findTooDeepOffset,
  listenAddressSchema,
  Ok,
  parseSocketAddress,
  type Result,
} from '@wasabidyke/shared';
import * as z from 'zod/mini';

/** An IP address and a port, also as they are written. */
const addressSchema = z.pipe(
  listenAddressSchema,
  z.transform(text => {
    // The schema before it refuses what can't be parsed.
    const {host, port} = parseSocketAddress(text) ?? {host: '', port: 0};
    return {host, port, text};
  }),
);

const nameSchema = z.string().check(z.minLength(1));
const amountSchema = z.number().check(z.minimum(0));

/** Schema of the settings of a balancer. */
export const balancerSettingsSchema = z.object({
  /** Name of this entry; unique among the entries. */
  name: nameSchema,
  region: nameSchema,
  zone: nameSchema,
  /** The region of each availability zone. */
  regionByZone: z.record(z.string(), z.string()),
  listen: z.object({
    /** Listens for requests of callers. */
    callers: addressSchema,
    /** Listens for requests for the list of entries. */
    entries: addressSchema,
    readiness: addressSchema,
    metrics: addressSchema,
    /** Serves store records to other entries. */
    feed: addressSchema,
  }),
  store: z.object({address: addressSchema}),
  /** Time from the stop signal until the process is killed. */
  stopWithin: durationSchema,
  /** Budget for repeats, that is retries and hedges. */
  repeats: z.object({
    /** Repeats per request of a service, over all entries. */
    ratio: z.number().check(z.minimum(0), z.maximum(1)),
    slack: amountSchema,
    window: durationSchema,
  }),
  /** By how much all entries together may exceed the quota of an account; `DEFAULT_QUOTA_TOLERANCE` unless set. */
  quotas: z.optional(
    z.object({
      window: durationSchema,
      /** Share of the requests that the quota allows in a window. */
      overshoot: amountSchema,
      /** Requests per window. */
      slack: amountSchema,
    }),
  ),
  /** Maximum load queries per second to one upstream, over all entries. */
  loadQueriesPerSecond: amountSchema,
  /** Cost of transferring a megabyte, as a number of responses in time. */
  transferCosts: z.object({
    crossZonePerMegabyte: amountSchema,
    crossRegionPerMegabyte: amountSchema,
  }),
  /** Maximum age of the list of entries that a caller keeps. */
  entryListAge: durationSchema,
  /** Which requests go first while a service is full, if its requests have several priorities. */
  overload: z._default(z.enum(['by-arrival', 'by-value']), 'by-arrival'),
});

/** Validated settings of a balancer. */
export type BalancerSettings = z.infer<typeof balancerSettingsSchema>;

/** Parses and validates settings. Errors name the field and the problem. */
export function parseBalancerSettings(
  text: string,
): Result<BalancerSettings, readonly string[]> {
  const tooDeepOffset = findTooDeepOffset(text);
  if (tooDeepOffset !== undefined) {
    return Err([`settings: nested too deep at offset ${tooDeepOffset}`]);
  }
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

/** Regions of a deployment: those of its availability zones, and that of the entry itself. */
export function regionsOf({
  region,
  regionByZone,
}: BalancerSettings): ReadonlySet<string> {
  return new Set([region, ...Object.values(regionByZone)]);
}
