/**
 * Reads the load that an upstream puts on its answers.
 * Source: Open Request Cost Aggregation (ORCA), the `endpoint-load-metrics` header in its JSON form.
 */

import {z} from 'zod';

/** Name of the header that carries a load report. */
export const LOAD_REPORT_HEADER = 'endpoint-load-metrics';

/** Longest header that is read, in characters. */
const MAXIMUM_LENGTH = 4_096;

/** Most requests that a report is believed to speak of. */
const MAXIMUM_REQUESTS = 1_000_000;

/** How the JSON form of the header begins. */
const JSON_FORM = /^JSON\s+/;

/** A load report that an upstream gave, with its age. */
export interface LoadReport {
  /** Requests that the upstream said were running or waiting there. */
  readonly requests: number;
  /** Part of its capacity that the upstream said was used; over 1 when overloaded. */
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
 * @returns undefined when there is no header, or it holds no usable report.
 */
export function parseLoadReport(
  header: string | undefined,
  nowMs: number,
): LoadReport | undefined {
  if (header === undefined || header.length > MAXIMUM_LENGTH) {
    return undefined;
  }
  if (!JSON_FORM.test(header)) {
    return undefined;
  }
  const parsed = headerSchema.safeParse(
    parseJson(header.replace(JSON_FORM, '')),
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

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
