/** The directory of an entry that runs alone. */

import type {IssueCounter} from '../once/home-token.js';
import type {EntryStateReader} from './entry-state.js';
import type {ManifestKeeper} from './manifest-keeper.js';
import {
  MemberDirectory,
  type EntryMember,
  type EntryMemberState,
} from './member-directory.js';

/** What an entry that runs alone says of itself. */
export interface LoneDirectoryOptions {
  readonly entry: string;
  readonly incarnation: string;
  readonly region: string;
  readonly zone: string;
  readonly callerAddress: string;
  readonly issueCounter: IssueCounter;
  readonly state: EntryStateReader;
  readonly keeper: ManifestKeeper;
}

/** Knows one entry: this one. */
export class LoneDirectory extends MemberDirectory {
  readonly #options: LoneDirectoryOptions;

  constructor(options: LoneDirectoryOptions) {
    super();
    this.#options = options;
  }

  override members(): readonly EntryMember[] {
    const {issueCounter, state, keeper, ...facts} = this.#options;
    return [
      {
        ...facts,
        state: toMemberState(state.state),
        load: 0,
        issue: issueCounter.issue,
        revision: keeper.revision,
        ageMs: 0,
      },
    ];
  }

  override findMember(): undefined {
    return undefined;
  }

  override findSuccessor(): undefined {
    return undefined;
  }
}

function toMemberState(state: EntryStateReader['state']): EntryMemberState {
  return state === 'starting' ? 'joining' : state;
}
