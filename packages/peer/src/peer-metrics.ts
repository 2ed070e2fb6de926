/** Metrics of the communication between entries. */

import type {Counter, MetricRegistry} from '@wasabidyke/shared';

/** Why a row or call of a peer was refused. */
export type Refusal =
  | 'malformed'
  | 'expired'
  | 'far-future'
  | 'full'
  | 'too-many'
  | 'busy'
  /** The sender disconnected before it was answered. */
  | 'aborted';

/** Procedures between entries. */
export type Procedure = 'exchange' | 'push' | 'fetch-manifest' | 'hand-over';

/** Direction of bytes, as seen from this process. */
export type Direction = 'in' | 'out';

/** Whether the other end of a connection is in the same region. */
export type ByteScope = 'same-region' | 'other-region';

/** Metrics of one process's communication with its peers. */
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

  /** Calls that this process made and that failed. */
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

  /** Rows and calls of other entries that were refused. */
  refusals(reason: Refusal): Counter {
    const help = 'Rows and calls of other entries that were refused.';
    const name = 'wasabidyke_peer_refusals_total';
    return this.#registry.counter(name, help, {reason});
  }

  /** Rows that were new or had a newer version. */
  rowsLearned(kind: string): Counter {
    const help = 'Rows that became known or rose.';
    const name = 'wasabidyke_peer_rows_learned_total';
    return this.#registry.counter(name, help, {kind});
  }

  /** Registers a gauge whose value is computed when it is read. */
  gauge(name: string, help: string, read: () => number): void {
    this.#registry.gauge(`wasabidyke_peer_${name}`, help, read);
  }
}
