/**
 * Parses the load report in the headers of an upstream's answer.
 * Source: Open Request Cost Aggregation (ORCA), the `endpoint-load-metrics` header in its JSON form.
 */

import {parseJson} from '@wasabidyke/shared';
import {z} from 'zod';

/** Name of the header that carries a load report. */
export const LOAD_REPORT_HEADER = 'endpoint-load-metrics';

/** Maximum length of the header's value, in characters; a longer one is ignored. */
const MAXIMUM_LENGTH = 4_096;

/** Maximum plausible number of requests; a report with more is ignored. */
const MAXIMUM_REQUESTS = 1_000_000;

/** Prefix of a header value in JSON form. */
const JSON_FORM_PREFIX = /^JSON\s+/;

/** A load report of an upstream. */
export interface LoadReport {
  /** Number of requests that run or wait at the upstream. */
  readonly requests: number;
  /** Share of the upstream's capacity in use; above 1 when it is overloaded. */
  readonly utilization?: number | undefined;
  /** When the report was made, on this process's monotonic clock, in milliseconds. */
  readonly madeAtMs: number;
}

const headerSchema = z.object({
  application_utilization: z.number().min(0).optional(),
  named_metrics: z.object({
    requests_in_flight: z.number().min(0).max(MAXIMUM_REQUESTS),
  }),
});

/**
 * Parses the header's value.
 * @param nowMs This process's monotonic clock, taken as the time the report was made.
 * @returns undefined if there is no header or it holds no valid report.
 */
export function parseLoadReport(
  header: string | undefined,
  nowMs: number,
): LoadReport | undefined {
  if (header === undefined || header.length > MAXIMUM_LENGTH) {
    return undefined;
  }
  if (!JSON_FORM_PREFIX.test(header)) {
    return undefined;
  }
  const parsed = headerSchema.safeParse(
    parseJson(header.replace(JSON_FORM_PREFIX, '')),
  );
  if (!parsed.success) {
    return undefined;
  }
  return {
    requests: parsed.data.named_metrics.requests_in_flight,
    utilization: parsed.data.application_utilization,
    madeAtMs: nowMs,
  };
}
