/** Hands the ledgers of a stopping entry over to a successor, which then answers resends. */

import type {LedgerRecord, Member, PeerTask} from '@wasabidyke/peer';
import type {Clock, Reporter} from '@wasabidyke/shared';
import type {AdoptedLedgers} from '../at-most-once/adopted-ledgers.js';
import type {HomeTokenIssuer} from '../at-most-once/home-token.js';
import {toLedgerRecord} from './ledger-transfer.js';
import type {Ledger} from './run-ledger.js';

/** Options of `LedgerHandOver`. */
export interface LedgerHandOverOptions {
  readonly task: PeerTask;
  readonly ledger: Ledger;
  readonly adopted: AdoptedLedgers;
  readonly issuer: HomeTokenIssuer;
  readonly clock: Clock;
  readonly reporter: Reporter;
}

/** Limit of entries that are tried as successor, one after the other. */
const MAXIMUM_SUCCESSORS = 3;

/** Time for other entries to acknowledge a succession, in milliseconds. */
const SUCCESSION_DEADLINE_MS = 2_000;

/** Hands over the own and the adopted ledgers of this entry. */
export class LedgerHandOver {
  readonly #options: LedgerHandOverOptions;

  constructor(options: LedgerHandOverOptions) {
    this.#options = options;
  }

  /** Hands over all ledgers; reports an error when no entry accepts them. */
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
        message: `No other entry accepted the records of ${records.length} idempotency keys; resends of them get the outcome "unknown". Stop entries one at a time.`,
      });
    }
  }

  #collectRecords(): readonly LedgerRecord[] {
    const {ledger, adopted, issuer} = this.#options;
    const own = ledger
      .runs()
      .map(run =>
        toLedgerRecord(run, issuer.incarnation, issuer.remainingMs(run.issue)),
      );
    const others = adopted.completeHomes.flatMap(home =>
      adopted
        .runsOf(home)
        .map(run => toLedgerRecord(run, home, adopted.remainingMs(home))),
    );
    return [...own, ...others].filter(record => record !== undefined);
  }

  /** Lists serving entries, those of this region first. */
  #listSuccessors(): readonly Member[] {
    const {task} = this.#options;
    const {region} = task.self;
    const serving = task
      .members()
      .filter(view => !view.isSelf && view.health === 'live')
      .map(view => view.member)
      .filter(member => member.state === 'serving');
    const sameRegion = serving.filter(member => member.region === region);
    const otherRegions = serving.filter(member => member.region !== region);
    return [...sameRegion, ...otherRegions].slice(0, MAXIMUM_SUCCESSORS);
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
    const lifetimeMs = issuer.lifetimeMs;
    await this.#publishSuccession(issuer.incarnation, successor, lifetimeMs);
    for (const home of adopted.completeHomes) {
      await this.#publishSuccession(home, successor, adopted.remainingMs(home));
    }
    reporter.report({
      level: 'info',
      code: 'ledger.handed-over',
      subject: successor.entry,
      message: `${records.length} idempotency keys were handed over.`,
    });
    return true;
  }

  async #publishSuccession(
    home: string,
    successor: Member,
    lifetimeMs: number,
  ): Promise<void> {
    const {task, clock} = this.#options;
    const value = {
      home,
      successorEntry: successor.entry,
      successorIncarnation: successor.incarnation,
    };
    const expiresAtMs = Math.floor(clock.wallTime() + lifetimeMs);
    await task.publishAndWait(
      {kind: 'succession', value, expiresAtMs},
      SUCCESSION_DEADLINE_MS,
    );
  }
}
