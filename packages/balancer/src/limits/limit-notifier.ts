/**
 * Tells other entries of the limits that upstreams name, and takes theirs. Each
 * entry that learns something new tells a few others, so that the work of each
 * does not grow with the number of entries. One that is missed learns of a
 * limit from the first answer that it gets.
 */

import type {Clock} from '@wasabidyke/shared';
import type {EntryClient} from '../feed/entry-client.js';
import type {EntryRecord} from '../members/entry-record.js';
import type {LimitSource, UpstreamHandle} from '../members/upstream-handle.js';
import type {UpstreamRegistry} from '../members/upstream-registry.js';
import type {DecisionLog} from '../reporting/decision-log.js';
import {LIMITS_PATH, limitsSchema, serializeLimits} from './limit-messages.js';

/** Options of `LimitNotifier`. */
export interface LimitNotifierOptions {
  readonly registry: () => UpstreamRegistry;
  readonly client: EntryClient;
  /** Draws other entries to be told of news. */
  readonly drawListeners: () => readonly EntryRecord[];
  readonly clock: Clock;
  readonly log: DecisionLog;
}

/** Time in which changes are gathered, in milliseconds: an upstream may name another limit in each answer. */
const GATHERING_MS = 200;

/** Time for the answer of another entry, in milliseconds: several round trips between regions. */
const ANSWER_TIMEOUT_MS = 400;

/** Spreads limits over the entries. */
export class LimitNotifier {
  readonly #options: LimitNotifierOptions;
  /** Upstreams whose limit has changed since the last message. */
  readonly #changed = new Set<string>();

  constructor(options: LimitNotifierOptions) {
    this.#options = options;
  }

  /** Called when what is known of an upstream's limit has changed. */
  onChange({id, record, limit}: UpstreamHandle, source: LimitSource): void {
    const {log, clock} = this.#options;
    log.record('upstream.limit', {
      upstream: id,
      service: record.service,
      requestsPerSecond: limit.requestsPerSecond,
      ownPerSecond: limit.ownPerSecond(clock.now()),
      source,
    });
    if (this.#changed.size === 0) {
      setTimeout(() => this.#tell(), GATHERING_MS).unref();
    }
    this.#changed.add(id);
  }

  /** Takes limits from another entry. Returns the answer; undefined if the message can't be read. */
  onMessage(message: unknown): string | undefined {
    const parsed = limitsSchema.safeParse(message);
    if (!parsed.success) {
      return undefined;
    }
    const {registry, clock} = this.#options;
    for (const {upstream, requestsPerSecond, ageMs} of parsed.data.limits) {
      registry()
        .find(upstream)
        ?.observeLimit(
          requestsPerSecond ?? undefined,
          clock.now() - ageMs,
          'entry',
        );
    }
    return '{}';
  }

  #tell(): void {
    const {registry, client, drawListeners, clock} = this.#options;
    const limits = [...this.#changed].flatMap(upstream => {
      const limit = registry().find(upstream)?.limit;
      return limit === undefined
        ? []
        : [
            {
              upstream,
              requestsPerSecond: limit.requestsPerSecond ?? null,
              ageMs: Math.max(0, clock.now() - limit.observedAtMs),
            },
          ];
    });
    this.#changed.clear();
    const body = serializeLimits({limits});
    for (const {feedAddress} of drawListeners()) {
      void client.post({
        address: feedAddress ?? '',
        path: LIMITS_PATH,
        body,
        timeoutMs: ANSWER_TIMEOUT_MS,
      });
    }
  }
}
