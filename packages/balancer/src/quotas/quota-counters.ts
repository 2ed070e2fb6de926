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
  return {
    granted: metrics.counter(
      'wasabidyke_quota_granted_total',
      'Requests within the quota of their account.',
    ),
    refused: metrics.counter(
      'wasabidyke_quota_refused_total',
      'Requests beyond the quota of their account.',
    ),
    unknown: metrics.counter(
      'wasabidyke_quota_unknown_total',
      'Requests refused for want of an answer.',
    ),
    reserved: metrics.counter(
      'wasabidyke_quota_reserved_total',
      'Requests let through by the reserve.',
    ),
    queriesSent: metrics.counter(
      'wasabidyke_quota_queries_sent_total',
      'Queries to granting entries.',
    ),
    queriesAnswered: metrics.counter(
      'wasabidyke_quota_queries_answered_total',
      'Queries that this entry answered for others.',
    ),
    demandsSent: metrics.counter(
      'wasabidyke_quota_demands_sent_total',
      'Messages that told other regions the demand of this one.',
    ),
  };
}
