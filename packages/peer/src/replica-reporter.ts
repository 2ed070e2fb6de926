/** Forwards replica changes to the entry, its log and its time line. */

import type {Reporter} from '@wasabidyke/shared';
import type {MemberHealth} from './member-health.js';
import type {PeerHandler} from './peer-handler.js';
import type {ReplicaListener} from './replica.js';
import type {Member, Row} from './rows.js';

/** Forwards replica changes to the entry, its log and its time line. */
export class ReplicaReporter implements ReplicaListener {
  readonly #entry: string;
  readonly #handler: PeerHandler;
  readonly #reporter: Reporter;

  constructor(entry: string, handler: PeerHandler, reporter: Reporter) {
    this.#entry = entry;
    this.#handler = handler;
    this.#reporter = reporter;
  }

  onRow(row: Row): void {
    this.#handler.onRow(row);
  }

  onHealth(member: Member, from: MemberHealth, to: MemberHealth): void {
    this.#reporter.report({
      level: to === 'live' ? 'info' : 'warn',
      code: `member.${to}`,
      subject: member.entry,
      message: `The health of this member changed from ${from} to ${to}, as seen by the local entry.`,
    });
  }

  onReplaced(incarnation: string): void {
    this.#reporter.report({
      level: 'error',
      code: 'member.replaced',
      subject: this.#entry,
      message: `Another process (incarnation ${incarnation}) that started later uses this entry's name; stop one of the two.`,
    });
    this.#handler.onReplaced(incarnation);
  }
}
