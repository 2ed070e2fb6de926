/** What an entry does with messages from its peers that concern more than the table of rows. */

import type {LedgerRecord} from './ledger-record.js';
import type {Row} from './rows.js';

/** Answers for an entry. Implementations must not throw; a call that does is answered as an internal error. */
export abstract class PeerHandler {
  /**
   * A peer asks for the manifest.
   * @returns The record's text, or undefined when none newer than `knownRevision` is known.
   */
  abstract onManifestWanted(knownRevision: number): string | undefined;

  /**
   * A peer hands over ledger records.
   * @returns The keys that this entry answers for from now on.
   */
  abstract onLedgerRecords(
    records: readonly LedgerRecord[],
    from: PeerIdentity,
  ): readonly string[];

  /** A row became known, or rose; not called for heartbeats. */
  abstract onRow(row: Row): void;

  /** Another, later process runs under this entry's name; this one is no longer listed. */
  abstract onReplaced(incarnation: string): void;
}

/** The process that called. */
export interface PeerIdentity {
  readonly entry: string;
  readonly incarnation: string;
  readonly region: string;
}
