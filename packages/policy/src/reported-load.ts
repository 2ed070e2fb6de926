/** Weight of an upstream's load reports: reduced by age, and by contradictions to this entry's own requests in flight. */

import type {LoadReport} from './load-report.js';

/** Half-life of a report's weight, in milliseconds. */
const REPORT_HALF_LIFE_MS = 100;

/** A weight below this is taken as 0. */
const MINIMUM_WEIGHT = 0.02;

/** Factor on the trust in an upstream's reports after one with fewer requests than this entry has in flight. */
const TRUST_AFTER_CONTRADICTION = 0.5;

/** Share of the lost trust that a consistent report restores. */
const TRUST_REGAINED_PER_REPORT = 0.1;

/** Number of requests by which a lagging report may be below this entry's own without counting as a contradiction. */
const TOLERATED_MISSING_REQUESTS = 1;

/** The newest load report of an upstream, and its weight. */
export class ReportedLoad {
  #report: LoadReport | undefined;
  #otherRequests = 0;
  #trust = 1;

  /** The newest load report; undefined before the first one. */
  get report(): LoadReport | undefined {
    return this.#report;
  }

  /** Number of requests of other entries according to the newest report. */
  get otherRequests(): number {
    return this.#otherRequests;
  }

  /** Applies a report unless it is older. @param inFlight This entry's own requests in flight at the upstream. */
  apply(report: LoadReport, inFlight: number): void {
    if (
      this.#report !== undefined &&
      report.madeAtMs <= this.#report.madeAtMs
    ) {
      return;
    }
    this.#report = report;
    this.#otherRequests = Math.max(0, report.requests - inFlight);
    const isContradicted =
      report.requests + TOLERATED_MISSING_REQUESTS < inFlight;
    this.#trust = isContradicted
      ? this.#trust * TRUST_AFTER_CONTRADICTION
      : this.#trust + TRUST_REGAINED_PER_REPORT * (1 - this.#trust);
  }

  /** Returns the weight of the newest report at `nowMs`, from 0 to 1. */
  weightAt(nowMs: number): number {
    if (this.#report === undefined) {
      return 0;
    }
    const ageMs = Math.max(0, nowMs - this.#report.madeAtMs);
    const weight = this.#trust * 2 ** (-ageMs / REPORT_HALF_LIFE_MS);
    return weight < MINIMUM_WEIGHT ? 0 : weight;
  }
}
