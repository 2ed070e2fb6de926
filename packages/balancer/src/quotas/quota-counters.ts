/** Counters of quotas. */

import type {Counter, MetricRegistry} from '@wasabidyke/shared';

/** The counters. */
export interface QuotaCounters {
  readonly granted: Counter;
  readonly refused: Counter;
  readonly unknown: Counter;
  readonly reserved: Counter;
  readonly queriesSent: Counter;
  readonly queriesAnswered: Counter;
  readonly demandsSent: Counter;
}

/** Registers the counters. */
export function registerQuotaCounters(metrics: MetricRegistry): QuotaCounters {
  const counter = (name: string, help: string) =>
    metrics.counter(`wasabidyke_quota_${name}_total`, help);
  return {
    granted: counter('granted', 'Requests within the quota of their account.'),
    refused: counter('refused', 'Requests beyond the quota of their account.'),
    unknown: counter('unknown', 'Requests refused for want of an answer.'),
    reserved: counter('reserved', 'Requests let through by the reserve.'),
    queriesSent: counter('queries_sent', 'Queries to granting entries.'),
    queriesAnswered: counter(
      'queries_answered',
      'Queries that this entry answered for others.',
    ),
    demandsSent: counter(
      'demands_sent',
      'Messages that told other regions the demand of this one.',
    ),
  };
}
