/** What the talk between entries costs and refuses, as counters. */

import type {Counter, MetricRegistry} from '@wasabidyke/shared';

/** Why something that a peer sent was not taken in. */
export type Refusal =
  | 'malformed'
  | 'expired'
  | 'far-future'
  | 'full'
  | 'too-many'
  | 'busy'
  /** The caller went away before it was answered. */
  | 'aborted';

/** Procedures between entries. */
export type Procedure = 'exchange' | 'push' | 'fetch-manifest' | 'hand-over';

/** Which way bytes went. */
export type Direction = 'in' | 'out';

/** Whether bytes stayed in the region. */
export type ByteScope = 'same-region' | 'other-region';

/** Counters of one process's talk with its peers. */
export class PeerMetrics {
  readonly #registry: MetricRegistry;

  constructor(registry: MetricRegistry) {
    this.#registry = registry;
  }

  /** Calls that this process made. */
  callsMade(procedure: Procedure): Counter {
    const help = 'Calls made to other entries.';
    const name = 'wasabidyke_peer_calls_made_total';
    return this.#registry.counter(name, help, {procedure});
  }

  /** Calls that this process made and that gave no answer. */
  callsFailed(procedure: Procedure): Counter {
    const help = 'Calls made to other entries that failed.';
    const name = 'wasabidyke_peer_calls_failed_total';
    return this.#registry.counter(name, help, {procedure});
  }

  /** Calls that this process answered. */
  callsAnswered(procedure: Procedure): Counter {
    const help = 'Calls from other entries that were answered.';
    const name = 'wasabidyke_peer_calls_answered_total';
    return this.#registry.counter(name, help, {procedure});
  }

  /** Bytes on peer connections, HTTP/2 framing included. */
  bytes(direction: Direction, scope: ByteScope): Counter {
    const help = 'Bytes on connections between entries, TCP headers excluded.';
    const name = 'wasabidyke_peer_bytes_total';
    return this.#registry.counter(name, help, {direction, scope});
  }

  /** Rows and columns that were not taken in. */
  refusals(reason: Refusal): Counter {
    const help = 'Rows and calls of other entries that were refused.';
    const name = 'wasabidyke_peer_refusals_total';
    return this.#registry.counter(name, help, {reason});
  }

  /** Rows that became known or rose. */
  rowsLearned(kind: string): Counter {
    const help = 'Rows that became known or rose.';
    const name = 'wasabidyke_peer_rows_learned_total';
    return this.#registry.counter(name, help, {kind});
  }

  /** Registers a gauge that is read on demand. */
  gauge(name: string, help: string, read: () => number): void {
    this.#registry.gauge(`wasabidyke_peer_${name}`, help, read);
  }
}
