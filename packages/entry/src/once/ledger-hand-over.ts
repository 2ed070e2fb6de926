/** Hands the ledgers of a stopping entry to a successor, so that resends still find their answers. */

import type {LedgerRecord, Member, PeerTask} from '@wasabidyke/peer';
import type {Clock, Reporter} from '@wasabidyke/shared';
import type {AdoptedLedgers} from './adopted-ledgers.js';
import type {HomeTokenIssuer} from './home-token.js';
import {toLedgerRecord} from './ledger-transfer.js';
import type {Ledger} from './run-ledger.js';

/** What a hand-over needs. */
export interface LedgerHandOverOptions {
  readonly task: PeerTask;
  readonly ledger: Ledger;
  readonly adopted: AdoptedLedgers;
  readonly issuer: HomeTokenIssuer;
  readonly clock: Clock;
  readonly reporter: Reporter;
}

/** Successors that are tried one after the other. */
const MAXIMUM_SUCCESSORS = 3;

/** Time for other entries to acknowledge who the successor is, in milliseconds. */
const SUCCESSION_DEADLINE_MS = 2_000;

/** Hands ledgers over. */
export class LedgerHandOver {
  readonly #options: LedgerHandOverOptions;

  constructor(options: LedgerHandOverOptions) {
    this.#options = options;
  }

  /** Hands over every ledger that this entry answers for. */
  async run(): Promise<void> {
    const records = this.#collectRecords();
    for (const successor of this.#listSuccessors()) {
      if (await this.#handOverTo(successor, records)) {
        return;
      }
    }
    if (records.length > 0) {
      this.#options.reporter.report({
        level: 'error',
        code: 'ledger.lost',
        subject: this.#options.issuer.entry,
        message: `No entry took over ${records.length} keys; resends of them are told "unknown". Stop entries one at a time.`,
      });
    }
  }

  #collectRecords(): readonly LedgerRecord[] {
    const {ledger, adopted, issuer} = this.#options;
    const own = ledger
      .runs()
      .map(run =>
        toLedgerRecord(run, issuer.incarnation, issuer.leftMs(run.issue)),
      );
    const others = adopted.homes.flatMap(home =>
      adopted
        .runsOf(home)
        .map(run => toLedgerRecord(run, home, adopted.leftMs(home))),
    );
    return [...own, ...others].filter(record => record !== undefined);
  }

  /** Serving entries of this region first. */
  #listSuccessors(): readonly Member[] {
    const {task} = this.#options;
    const {region} = task.self;
    const serving = task
      .members()
      .filter(view => !view.isSelf && view.health === 'live')
      .map(view => view.member)
      .filter(member => member.state === 'serving');
    const near = serving.filter(member => member.region === region);
    const far = serving.filter(member => member.region !== region);
    return [...near, ...far].slice(0, MAXIMUM_SUCCESSORS);
  }

  async #handOverTo(
    successor: Member,
    records: readonly LedgerRecord[],
  ): Promise<boolean> {
    const {task, issuer, adopted, reporter} = this.#options;
    const answer = await task.handOver(successor, records);
    if (answer.isErr() || answer.value.acceptedKeys.size < records.length) {
      return false;
    }
    const lifeMs = issuer.lifetimeMs;
    await this.#publishSuccession(issuer.incarnation, successor, lifeMs);
    for (const home of adopted.homes) {
      await this.#publishSuccession(home, successor, adopted.leftMs(home));
    }
    reporter.report({
      level: 'info',
      code: 'ledger.handed-over',
      subject: successor.entry,
      message: `${records.length} keys were handed over.`,
    });
    return true;
  }

  async #publishSuccession(
    home: string,
    successor: Member,
    lifeMs: number,
  ): Promise<void> {
    const {task, clock} = this.#options;
    const value = {
      home,
      successorEntry: successor.entry,
      successorIncarnation: successor.incarnation,
    };
    const expiresAtMs = Math.floor(clock.wallTime() + lifeMs);
    await task.publishAndWait(
      {kind: 'succession', value, expiresAtMs},
      SUCCESSION_DEADLINE_MS,
    );
  }
}
