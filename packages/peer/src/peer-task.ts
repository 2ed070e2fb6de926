/**
 * The task that exchanges state with the other entries: membership, departing
 * upstreams, suspect requests, successors of stopped homes and the manifest
 * revision in force. The views of two entries may differ at any time and for any
 * length of time, so no safety guarantee depends on them.
 */

import {Task, type Result} from '@wasabidyke/shared';
import {handOverRecords, type HandOverAnswer} from './hand-over.js';
import type {LedgerRecord} from './ledger-record.js';
import {MailboxInbox, type PeerMessage} from './mailbox-inbox.js';
import type {PeerError} from './peer-clients.js';
import type {PeerTaskOptions} from './peer-options.js';
import {createPeerParts, type PeerParts} from './peer-parts.js';
import {toTarget} from './peer-selection.js';
import {PeerServer} from './peer-server.js';
import {createPeerService} from './peer-service.js';
import type {MemberView} from './replica.js';
import {ReplicaReporter} from './replica-reporter.js';
import {GossipRounds} from './gossip-rounds.js';
import type {
  Member,
  MemberState,
  Row,
  RowDraft,
  RowKind,
  RowValue,
} from './rows.js';
import {collectSuspects, type SuspectView} from './suspect-view.js';

/** Which live members acknowledged a published row. */
export interface PublishResult {
  /** Names of the members that acknowledged the row. */
  readonly acknowledged: readonly string[];
  /** Names of the members that did not acknowledge it before the deadline. */
  readonly missing: readonly string[];
}

/** Maximum number of messages waiting in the mailbox. */
const MAILBOX_CAPACITY = 1_024;

/** How long a manifest notice lives after its publisher put the manifest in force. */
const MANIFEST_NOTICE_LIFETIME_MS = 3_600_000;

/** Exchanges state with the other entries. */
export class PeerTask extends Task<PeerMessage> {
  readonly #options: PeerTaskOptions;
  readonly #parts: PeerParts;
  readonly #server: PeerServer;
  readonly #rounds: GossipRounds;

  constructor(options: PeerTaskOptions) {
    super('peer', MAILBOX_CAPACITY, (task, error) =>
      options.reporter.report({
        level: 'error',
        code: 'peer.failed',
        subject: task,
        message: `Handling a peer message failed; please report this as a bug: ${String(error)}`,
      }),
    );
    this.#options = options;
    const {member, handler, reporter} = options;
    const reports = new ReplicaReporter(member.entry, handler, reporter);
    this.#parts = createPeerParts(options, reports);
    this.#rounds = new GossipRounds(options, this.#parts);
    this.#server = this.#createServer();
    this.#registerGauges();
  }

  /** Opens the listener and joins the other entries. @throws When listening on the address fails. */
  async start(): Promise<void> {
    const listening = await this.#server.listen(this.#options.listen);
    const peerAddress = this.#options.member.peerAddress ?? listening;
    this.#parts.replica.updateSelf({peerAddress});
    this.#rounds.start(() => this.post({kind: 'tick'}));
    await this.#rounds.join();
  }

  /** Announces to the other entries that this process has stopped, then closes the listener and all connections. */
  async stop(): Promise<void> {
    this.#rounds.stop();
    if (!this.#parts.replica.isReplaced) {
      this.setState('stopped');
      await this.#parts.spreader.flush();
    }
    this.close();
    this.#parts.spreader.stop();
    this.#parts.clients.close();
    await this.#server.close();
    this.#parts.meter.updateCounters();
  }

  /** The member row of this process. */
  get self(): Member {
    return this.#parts.replica.self;
  }

  /** All known members including this process, ordered by name. */
  members(): readonly MemberView[] {
    return this.#parts.replica.members();
  }

  /** All rows of a kind. */
  rows<Kind extends RowKind>(kind: Kind): ReadonlyArray<Row<Kind>> {
    return this.#parts.replica.table.rows(kind);
  }

  /** All suspect requests, with the crashes that any entry reported. */
  suspects(): readonly SuspectView[] {
    return collectSuspects(this.rows('suspect'));
  }

  /** Returns the successor of a stopped home, if known. */
  findSuccession(home: string): RowValue<'succession'> | undefined {
    const rows = this.rows('succession');
    return rows.find(({value}) => value.home === home)?.value;
  }

  /** Whether this entry is one of the few in its region that watch, and exchange with, other regions. */
  isGateway(): boolean {
    return this.#parts.selection.isGateway();
  }

  /**
   * Publishes a row to all entries.
   * @returns Whether the table contains the row now.
   */
  publish(draft: RowDraft): boolean {
    const published = this.#parts.replica.publish(draft);
    if (published?.isNew) {
      this.#spread(published.row);
    }
    return published !== undefined;
  }

  /** Publishes a row and waits until every live member has acknowledged it or the deadline has passed. */
  async publishAndWait(
    draft: RowDraft,
    deadlineMs: number,
  ): Promise<PublishResult> {
    const {replica, spreader} = this.#parts;
    const published = replica.publish(draft);
    const acknowledged: string[] = [];
    const missing: string[] = [];
    const push = async (member: Member) => {
      const isAcknowledged =
        published !== undefined &&
        (await spreader.deliver(toTarget(member), published.row, deadlineMs));
      (isAcknowledged ? acknowledged : missing).push(member.entry);
    };
    await Promise.all(replica.reachable().map(push));
    return {acknowledged, missing};
  }

  /** Sets the state that this entry publishes in its member row. */
  setState(state: MemberState): void {
    if (state !== this.self.state) {
      this.#spread(this.#parts.replica.updateSelf({state}));
    }
  }

  /** Adds a home that this entry answers for from now on. */
  addHome(home: string): void {
    if (!this.self.homes.includes(home)) {
      const homes = [...this.self.homes, home];
      this.#spread(this.#parts.replica.updateSelf({homes}));
    }
  }

  /** Sets the number of requests in flight; published with the next heartbeat. */
  setLoad(load: number): void {
    this.#parts.replica.updateHeartbeatFields({load});
  }

  /** Sets the manifest revision in force here; the first entry of a region to have it publishes a notice at once. */
  setRevision(revision: number, digest: string): void {
    this.#parts.replica.updateHeartbeatFields({revision});
    if (!this.#isAnnouncedInRegion(revision)) {
      const publisher = this.self.entry;
      const expiresAtMs =
        this.#options.clock.wallTime() + MANIFEST_NOTICE_LIFETIME_MS;
      const value = {publisher, revision, digest};
      this.publish({kind: 'manifest-notice', value, expiresAtMs});
    }
  }

  /** The highest manifest revision in a reachable entry's heartbeat or in a notice; 0 when none is known. */
  highestRevision(): number {
    const notices = this.rows('manifest-notice');
    return Math.max(
      0,
      ...this.#parts.replica.reachable().map(({revision}) => revision),
      ...notices.map(({value}) => value.revision),
    );
  }

  /** Fetches a manifest record newer than `knownRevision` from peers. @returns Its text, not validated; undefined when none arrived within `deadlineMs`. */
  fetchManifest(
    knownRevision: number,
    deadlineMs: number,
  ): Promise<string | undefined> {
    return this.#parts.fetcher.fetch(knownRevision, deadlineMs);
  }

  /** Hands ledger records over to another entry. */
  handOver(
    target: Member,
    records: readonly LedgerRecord[],
  ): Promise<Result<HandOverAnswer, PeerError>> {
    return handOverRecords(records, {
      clients: this.#parts.clients,
      sender: this.#parts.reconciler.sender(),
      target: toTarget(target),
      timeoutMs: this.#parts.timings.transferTimeoutMs,
    });
  }

  protected override handle(message: PeerMessage): void {
    const {exchanger} = this.#parts;
    switch (message.kind) {
      case 'tick':
        return this.#rounds.run();
      case 'exchange': {
        const {request, from, answer} = message;
        return answer(exchanger.answer(request, from.region));
      }
      case 'push': {
        const {request, from, answer} = message;
        return answer(exchanger.receivePush(request, from.region));
      }
    }
  }

  #spread(row: Row): void {
    this.#parts.spreader.spread([row], 'system', this.self.region);
  }

  #isAnnouncedInRegion(revision: number): boolean {
    const regions = new Map(
      this.members().map(({member}) => [member.entry, member.region]),
    );
    return this.rows('manifest-notice').some(
      ({value}) =>
        value.revision >= revision &&
        regions.get(value.publisher) === this.self.region,
    );
  }

  #createServer(): PeerServer {
    const {metrics, meter} = this.#parts;
    const inbox = new MailboxInbox({
      post: message => this.post(message),
      handler: this.#options.handler,
      metrics,
      onSender: (from, context) =>
        this.#server.assignRegion(context, from.region === this.self.region),
    });
    return new PeerServer(createPeerService(inbox, metrics), meter, metrics);
  }

  #registerGauges(): void {
    const {metrics, replica, meter} = this.#parts;
    const members = () => replica.reachable().length;
    metrics.gauge('members', 'Other entries that can be called.', members);
    const sockets = () => meter.openSockets;
    metrics.gauge('connections', 'Connections to and from entries.', sockets);
  }
}
