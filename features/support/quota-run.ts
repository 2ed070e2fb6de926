/** What is simulated of quotas, and what comes out. */

/** How quotas are kept: as designed, by equal fixed shares of the regions, or by one entry for all regions. */
export type QuotaDesign = 'shares' | 'equal' | 'single';

/** What happens from `FAULT_MS` on. */
export type QuotaFault =
  | 'none'
  | 'entry lost'
  | 'granting entry lost'
  | 'half cut off'
  | 'all restarted'
  | 'limit lowered'
  | 'surge'
  | 'surge of all';

/** One simulation. */
export interface QuotaRun {
  readonly entries: number;
  readonly design: QuotaDesign;
  readonly fault: QuotaFault;
  readonly seed: number;
}

/** What came out. */
export interface QuotaResult {
  /** Highest part of the bound that an account reached in any window. */
  worstPart: number;
  /** Requests within the quota, by a bucket that sees all of them. */
  within: number;
  /** Those of them that were refused, also after a try at another entry. */
  refused: number;
  /** Messages per second, those between regions among them. */
  messagesPerSecond: number;
  crossRegionPerSecond: number;
}
