/** Callbacks for peer messages that concern more than the row table. */

import type {LedgerRecord} from './ledger-record.js';
import type {Row} from './rows.js';

/** Handles peer events for an entry. Implementations must not throw; a call whose handler throws is answered with an internal error. */
export abstract class PeerHandler {
  /**
   * Called when a peer requests the manifest.
   * @returns The record's text, or undefined when none newer than `knownRevision` is known.
   */
  abstract onManifestRequest(knownRevision: number): string | undefined;

  /**
   * Called when a peer hands over ledger records.
   * @returns The keys that this entry answers for from now on.
   */
  abstract onLedgerRecords(
    records: readonly LedgerRecord[],
    from: PeerIdentity,
  ): readonly string[];

  /** Called when a row is new or has a newer version; not called for heartbeats. */
  abstract onRow(row: Row): void;

  /** Called when a later process runs under this entry's name, so that this process is no longer listed as a member. */
  abstract onReplaced(incarnation: string): void;
}

/** Identity of the process that sent a call. */
export interface PeerIdentity {
  readonly entry: string;
  readonly incarnation: string;
  readonly region: string;
}
