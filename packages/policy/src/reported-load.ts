/** What an upstream's reports are worth: less with age, and less when they contradict what is seen. */

import type {LoadReport} from './load-report.js';

/** Time in which a report loses half of its weight, in milliseconds. */
const REPORT_HALF_LIFE_MS = 100;

/** Weight below which a report counts for nothing. */
const SMALLEST_WEIGHT = 0.02;

/** Part of its trust that an upstream keeps after a report that contradicts what is seen. */
const TRUST_AFTER_CONTRADICTION = 0.5;

/** Part of the missing trust that an upstream regains with a consistent report. */
const TRUST_REGAINED = 0.1;

/** Requests by which a lagging report may stay below what is seen without contradicting it. */
const TOLERATED_REQUESTS = 1;

/** The newest report of an upstream, and how far it is believed. */
export class ReportedLoad {
  #report: LoadReport | undefined;
  #others = 0;
  #trust = 1;

  /** The newest report. */
  get report(): LoadReport | undefined {
    return this.#report;
  }

  /** Requests of other entries that the newest report implies. */
  get others(): number {
    return this.#others;
  }

  /** Takes a report over. @param inFlight This entry's own requests at the upstream. */
  apply(report: LoadReport, inFlight: number): void {
    if (
      this.#report !== undefined &&
      report.madeAtMs <= this.#report.madeAtMs
    ) {
      return;
    }
    this.#report = report;
    this.#others = Math.max(0, report.requests - inFlight);
    const isContradicted = report.requests + TOLERATED_REQUESTS < inFlight;
    this.#trust = isContradicted
      ? this.#trust * TRUST_AFTER_CONTRADICTION
      : this.#trust + TRUST_REGAINED * (1 - this.#trust);
  }

  /** How far the newest report is believed at `nowMs`, from 0 to 1. */
  weightAt(nowMs: number): number {
    if (this.#report === undefined) {
      return 0;
    }
    const ageMs = Math.max(0, nowMs - this.#report.madeAtMs);
    const weight = this.#trust * 2 ** (-ageMs / REPORT_HALF_LIFE_MS);
    return weight < SMALLEST_WEIGHT ? 0 : weight;
  }
}
