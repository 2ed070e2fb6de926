/** The member directory of an entry without peers. */

import type {IssueCounter} from '../at-most-once/home-token.js';
import type {EntryStateReader} from './entry-life-cycle.js';
import type {ManifestKeeper} from './manifest-keeper.js';
import {
  MemberDirectory,
  type EntryMember,
  type EntryMemberState,
} from './member-directory.js';

/** Options of `StandaloneDirectory`. */
export interface StandaloneDirectoryOptions {
  readonly entry: string;
  readonly incarnation: string;
  readonly region: string;
  readonly zone: string;
  readonly callerAddress: string;
  readonly issueCounter: IssueCounter;
  readonly stateReader: EntryStateReader;
  readonly keeper: ManifestKeeper;
}

/** Directory with this entry as its only member. */
export class StandaloneDirectory extends MemberDirectory {
  readonly #options: StandaloneDirectoryOptions;

  constructor(options: StandaloneDirectoryOptions) {
    super();
    this.#options = options;
  }

  override members(): readonly EntryMember[] {
    const {issueCounter, stateReader, keeper, ...identity} = this.#options;
    return [
      {
        ...identity,
        state: toMemberState(stateReader.state),
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
