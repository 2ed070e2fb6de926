/** The entries that this one knows. Views differ between entries: nothing here is relied on for safety. */

/** Stages of another entry's life. */
export type EntryMemberState = 'joining' | 'serving' | 'draining' | 'stopped';

/** Another entry, or this one. */
export interface EntryMember {
  readonly entry: string;
  readonly incarnation: string;
  readonly state: EntryMemberState;
  readonly region: string;
  readonly zone: string;
  readonly callerAddress: string;
  /** Requests in flight when it was last heard of. */
  readonly load: number;
  /** The newest issue number of its home tokens that is known here. */
  readonly issue: number;
  /** Revision of the manifest in force there. */
  readonly revision: number;
  /** Time since it was last heard of, in milliseconds. */
  readonly ageMs: number;
}

/** The entries that this one knows. */
export abstract class MemberDirectory {
  /** Every live entry, this one included. */
  abstract members(): readonly EntryMember[];

  /** The entry of this name, if this start of its process is known to live. */
  abstract findMember(
    entry: string,
    incarnation: string,
  ): EntryMember | undefined;

  /** The entry that took over the ledger of a stopped home. */
  abstract findSuccessor(incarnation: string): EntryMember | undefined;
}
