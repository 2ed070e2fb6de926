/** What one entry knows of the warm-up of an upstream. */

/** Configuration of the warm-up of a service. */
export interface WarmUpConfiguration {
  /** Time for which an upstream is cold after its start, in milliseconds. */
  readonly durationMs: number;
  /** Requests per second to one cold upstream, from all entries together. */
  readonly requestsPerSecond: number;
}

/** What holds for all upstreams of a service. */
export class ServiceWarmUp {
  /** Undefined if the upstreams of the service need no warm-up. */
  configuration: WarmUpConfiguration | undefined;
  /** Whether any upstream of the service has named its remaining warm-up in an answer. */
  isNamedInAnswers = false;
}

/** An answer to a load query. */
export interface WarmUpAnswer {
  /** Remaining warm-up in milliseconds; undefined if the answer names none. */
  readonly leftMs: number | undefined;
  /** When the query was sent, on the monotonic clock in milliseconds. */
  readonly askedAtMs: number;
}

/** Time for which a record can't shorten what an answer has named, in milliseconds: it may have been written before the answer. Source: records are read within about two seconds, over other entries as well. */
const RECORD_DELAY_MS = 2_000;

/**
 * The warm-up of one upstream. It ends by itself. While it is unknown whether
 * the upstream is cold, it counts as cold until an answer to a load query says
 * otherwise that was sent after the doubt arose.
 */
export class WarmUp {
  readonly #service: ServiceWarmUp;
  #endsAtMs = -Infinity;
  #doubtedAtMs: number | undefined;
  /** Whether the doubt ends with a whole warm-up if no answer names one. */
  #isWholeDue = false;
  /** Whether an answer to a doubt began a whole warm-up before. */
  #hasBegunWhole = false;
  /** When an answer last named a remaining warm-up. */
  #namedAtMs = -Infinity;

  constructor(service: ServiceWarmUp) {
    this.#service = service;
  }

  /** Whether the service has a warm-up by its configuration. */
  get isConfigured(): boolean {
    return this.#service.configuration !== undefined;
  }

  /** Whether it is unknown whether the upstream is cold. */
  get isDoubtful(): boolean {
    return this.isConfigured && this.#doubtedAtMs !== undefined;
  }

  /** When the warm-up that is known of ends, on the monotonic clock in milliseconds. */
  get endsAtMs(): number {
    return this.#endsAtMs;
  }

  /** Whether the upstream is cold, or may be. */
  isCold(nowMs: number): boolean {
    return this.isDoubtful || (this.isConfigured && nowMs < this.#endsAtMs);
  }

  /** Requests per second to the upstream whenever it is cold, from all entries together; undefined if its service has no warm-up. */
  get configuredPerSecond(): number | undefined {
    return this.#service.configuration?.requestsPerSecond;
  }

  /** Requests per second that the upstream takes from all entries together; undefined if it isn't cold. */
  requestsPerSecond(nowMs: number): number | undefined {
    return this.isCold(nowMs) ? this.configuredPerSecond : undefined;
  }

  /** Remaining time of the warm-up that is known of, in milliseconds. */
  remainingMs(nowMs: number): number {
    return Math.max(0, this.#endsAtMs - nowMs);
  }

  /** Takes the remaining warm-up from a record that is new or has changed. */
  onRecord(leftMs: number, nowMs: number): void {
    const endsAtMs = nowMs + leftMs;
    const isBehind = nowMs - this.#namedAtMs < RECORD_DELAY_MS;
    if (endsAtMs > this.#endsAtMs || !isBehind) {
      this.#endsAtMs = endsAtMs;
    }
  }

  /**
   * Takes the answer to a load query. One without a remaining warm-up means
   * zero if this upstream has named one before. Otherwise it leaves a known
   * warm-up as it is, and ends a doubt: at once if others of the service name
   * theirs, else after a whole warm-up if one is due, since the process runs
   * by now.
   */
  onAnswer({leftMs, askedAtMs}: WarmUpAnswer, nowMs: number): void {
    const {configuration} = this.#service;
    if (configuration === undefined) {
      return;
    }
    const isAskedSince = askedAtMs >= (this.#doubtedAtMs ?? -Infinity);
    const hasNamed = this.#namedAtMs > -Infinity;
    if (leftMs !== undefined) {
      this.#service.isNamedInAnswers = true;
      this.#namedAtMs = nowMs;
      this.#endsAtMs = nowMs + leftMs;
    } else if (hasNamed) {
      this.#endsAtMs = Math.min(this.#endsAtMs, nowMs);
    } else if (
      isAskedSince &&
      this.#isWholeDue &&
      !this.#service.isNamedInAnswers
    ) {
      const endsAtMs = nowMs + configuration.durationMs;
      this.#endsAtMs = Math.max(this.#endsAtMs, endsAtMs);
      this.#hasBegunWhole = true;
    }
    if (isAskedSince) {
      this.#doubtedAtMs = undefined;
      this.#isWholeDue = false;
    }
  }

  /**
   * Called when the upstream may have become cold without saying so. A cause
   * that shows no restart, such as a late answer of a busy upstream, makes only
   * one whole warm-up due: it may recur sooner than a warm-up lasts.
   * @param sinceMs Answers to load queries that were sent before don't count, on the monotonic clock in milliseconds.
   * @param mayBeRestart Whether the cause can mean that the upstream has restarted, or was out of use.
   */
  onDoubt(sinceMs: number, mayBeRestart: boolean): void {
    if (this.isConfigured) {
      this.#doubtedAtMs = Math.max(this.#doubtedAtMs ?? -Infinity, sinceMs);
      this.#isWholeDue ||= mayBeRestart || !this.#hasBegunWhole;
    }
  }
}
