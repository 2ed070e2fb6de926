/** The entries known to this one. Views differ between entries, so nothing that must be safe relies on them. */

/** States of an entry as other entries see them. */
export type EntryMemberState = 'joining' | 'serving' | 'draining' | 'stopped';

/** Another entry, or this one. */
export interface EntryMember {
  readonly entry: string;
  readonly incarnation: string;
  readonly state: EntryMemberState;
  readonly region: string;
  readonly zone: string;
  readonly callerAddress: string;
  /** Number of requests in flight in its newest update. */
  readonly load: number;
  /** Newest known issue number of its home tokens. */
  readonly issue: number;
  /** Revision of the manifest in force there. */
  readonly revision: number;
  /** Time since its newest update, in milliseconds. */
  readonly ageMs: number;
}

/** Looks up the entries known to this one. */
export abstract class MemberDirectory {
  /** Every live entry, this one included. */
  abstract members(): readonly EntryMember[];

  /** The entry of this name if its process of this incarnation is known and not stopped. */
  abstract findMember(
    entry: string,
    incarnation: string,
  ): EntryMember | undefined;

  /** The entry that took over the ledger of the stopped entry with this incarnation. */
  abstract findSuccessor(incarnation: string): EntryMember | undefined;
}
