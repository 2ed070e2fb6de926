/**
 * The task by which an entry talks to the other entries: who is there, which
 * upstreams leave, which requests are suspect, who answers for a stopped home
 * and which manifest is in force. Views of two entries may disagree at any time
 * and for any length; nothing that must be safe rests on them.
 */

import {Code, ConnectError} from '@connectrpc/connect';
import {Task, type Result} from '@wasabidyke/shared';
import {
  Reach,
  type ExchangeRequest,
  type ExchangeResponse,
  type PushRequest,
} from './gen/wasabidyke/peer/v1/peer_pb.js';
import {handOverRecords, type HandOverAnswer} from './hand-over.js';
import {fromWireRecord, type LedgerRecord} from './ledger-record.js';
import {ManifestFetcher} from './manifest-fetcher.js';
import type {MemberHealth} from './member-health.js';
import {PeerClients, type PeerError, type PeerTarget} from './peer-clients.js';
import {TcpDialer} from './peer-dialer.js';
import type {PeerIdentity} from './peer-handler.js';
import {PeerMetrics} from './peer-metrics.js';
import type {PeerTaskOptions} from './peer-options.js';
import {PeerSelection, toTarget} from './peer-selection.js';
import {PeerServer} from './peer-server.js';
import {createPeerService, type PeerInbox} from './peer-service.js';
import {DEFAULT_PEER_TIMINGS, type PeerTimings} from './peer-timings.js';
import {Reconciler} from './reconciler.js';
import {Replica, type MemberView} from './replica.js';
import type {
  Member,
  MemberState,
  Row,
  RowDraft,
  RowKind,
  RowValue,
} from './rows.js';
import {Spreader, type Audience} from './spreader.js';
import {collectSuspects, type SuspectView} from './suspect-view.js';
import {WireMeter} from './wire-meter.js';

/** Which live members hold a published row. */
export interface PublishAnswer {
  /** Names of the members that acknowledged it. */
  readonly acknowledged: readonly string[];
  /** Names of the members that did not, in time. */
  readonly missing: readonly string[];
}

type PeerMessage =
  | {readonly kind: 'period'}
  | {
      readonly kind: 'exchange';
      readonly request: ExchangeRequest;
      readonly from: PeerIdentity;
      readonly answer: (response: ExchangeResponse) => void;
    }
  | {
      readonly kind: 'exchange-answer';
      readonly response: ExchangeResponse;
      readonly target: PeerTarget;
    }
  | {
      readonly kind: 'push';
      readonly request: PushRequest;
      readonly from: PeerIdentity;
      readonly answer: (held: number) => void;
    };

/** Messages that may wait. */
const MAILBOX_CAPACITY = 1_024;

/** Seeds that a starting entry exchanges with at once. */
const FIRST_SEEDS = 3;

/** A period varies by up to this part, so that entries do not move in step. */
const JITTER_SHARE = 0.2;

const JITTER_STEPS = 1_000;

/** How long a manifest notice stands after its publisher put the manifest in force. */
const NOTICE_LIFE_MS = 3_600_000;

/** Talks to the other entries. */
export class PeerTask extends Task<PeerMessage> {
  readonly #options: PeerTaskOptions;
  readonly #timings: PeerTimings;
  readonly #metrics: PeerMetrics;
  readonly #meter: WireMeter;
  readonly #replica: Replica;
  readonly #reconciler: Reconciler;
  readonly #clients: PeerClients;
  readonly #selection: PeerSelection;
  readonly #spreader: Spreader;
  readonly #fetcher: ManifestFetcher;
  readonly #server: PeerServer;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: PeerTaskOptions) {
    super('peer', MAILBOX_CAPACITY, (task, error) =>
      options.reporter.report({
        level: 'error',
        code: 'peer.failed',
        subject: task,
        message: `A message could not be handled; report this as a fault: ${String(error)}`,
      }),
    );
    const {clock, member} = options;
    const timings = {...DEFAULT_PEER_TIMINGS, ...options.timings};
    const metrics = new PeerMetrics(options.registry);
    this.#options = options;
    this.#timings = timings;
    this.#metrics = metrics;
    this.#meter = new WireMeter(metrics);
    this.#replica = new Replica({
      self: toFirstMember(options),
      clock,
      timings,
      limits: options.limits,
      metrics,
      listener: {
        onRow: row => options.handler.onRow(row),
        onHealth: (...change) => this.#reportHealth(...change),
        onReplaced: incarnation => this.#reportReplaced(incarnation),
      },
    });
    this.#reconciler = new Reconciler(this.#replica, metrics);
    this.#clients = new PeerClients({
      ownRegion: member.region,
      dialer: options.dialer ?? new TcpDialer(),
      timings,
      clock,
      metrics,
      meter: this.#meter,
    });
    this.#selection = new PeerSelection(
      this.#replica,
      options.random,
      options.seeds,
    );
    const shared = {
      replica: this.#replica,
      clients: this.#clients,
      selection: this.#selection,
      timings,
      clock,
      sender: () => this.#reconciler.sender(),
    };
    this.#spreader = new Spreader(shared);
    this.#fetcher = new ManifestFetcher(shared);
    const service = createPeerService(this.#createInbox(), metrics);
    this.#server = new PeerServer(service, this.#meter, metrics);
    this.#registerGauges();
  }

  /** Opens the listener and joins the other entries. @throws When the address cannot be listened on. */
  async start(): Promise<void> {
    const listening = await this.#server.listen(this.#options.listen);
    const peerAddress = this.#options.member.peerAddress ?? listening;
    this.#replica.updateSelf({peerAddress});
    this.#schedule();
    await this.#join();
  }

  /** Tells the others that this process has stopped, and ends all talk. */
  async stop(): Promise<void> {
    clearTimeout(this.#timer);
    if (!this.#replica.isReplaced) {
      this.setState('stopped');
      await this.#spreader.flush();
    }
    this.close();
    this.#spreader.stop();
    this.#clients.close();
    await this.#server.close();
    this.#meter.read();
  }

  /** This process's own facts. */
  get self(): Member {
    return this.#replica.self;
  }

  /** All members known, this process among them, ordered by name. */
  members(): readonly MemberView[] {
    return this.#replica.members();
  }

  /** All rows of a kind. */
  rows<Kind extends RowKind>(kind: Kind): ReadonlyArray<Row<Kind>> {
    return this.#replica.table.rows(kind);
  }

  /** All suspect requests, with the crashes that all reporters saw added up. */
  suspects(): readonly SuspectView[] {
    return collectSuspects(this.rows('suspect'));
  }

  /** The successor of a stopped home, where one is known. */
  findSuccession(home: string): RowValue<'succession'> | undefined {
    const rows = this.rows('succession');
    return rows.find(({value}) => value.home === home)?.value;
  }

  /** Whether this entry is one of the few of its region that watch and talk across for the others. */
  isGateway(): boolean {
    return this.#selection.isGateway();
  }

  /**
   * Publishes a row to all entries.
   * @returns Whether it stands in the table now.
   */
  publish(draft: RowDraft): boolean {
    const published = this.#replica.publish(draft);
    if (published?.isNew) {
      this.#spread([published.row], 'system');
    }
    return published !== undefined;
  }

  /** Publishes a row and waits for every live member to acknowledge it, up to a deadline. */
  async publishAndWait(
    draft: RowDraft,
    deadlineMs: number,
  ): Promise<PublishAnswer> {
    const published = this.#replica.publish(draft);
    const members = this.#replica.reachable();
    if (published === undefined) {
      return {acknowledged: [], missing: members.map(({entry}) => entry)};
    }
    const answers = await Promise.all(
      members.map(async member => ({
        entry: member.entry,
        isHeld: await this.#spreader.push(
          toTarget(member),
          [published.row],
          Reach.RECEIVER,
          deadlineMs,
        ),
      })),
    );
    const held = answers.filter(({isHeld}) => isHeld);
    const missing = answers.filter(({isHeld}) => !isHeld);
    return {
      acknowledged: held.map(({entry}) => entry),
      missing: missing.map(({entry}) => entry),
    };
  }

  /** Changes what this entry says of itself. */
  setState(state: MemberState): void {
    if (state !== this.self.state) {
      this.#spread([this.#replica.updateSelf({state})], 'system');
    }
  }

  /** This entry answers for another home from now on. */
  addHome(home: string): void {
    if (!this.self.homes.includes(home)) {
      const homes = [...this.self.homes, home];
      this.#spread([this.#replica.updateSelf({homes})], 'system');
    }
  }

  /** Requests in flight; told with the next heartbeat. */
  setLoad(load: number): void {
    this.#replica.updateVolatile({load});
  }

  /** A manifest came into force here; the first of a region to have it tells the others at once. */
  setRevision(revision: number, digest: string): void {
    this.#replica.updateVolatile({revision});
    if (!this.#isNoticedInRegion(revision)) {
      const publisher = this.self.entry;
      const expiresAtMs = this.#options.clock.wallTime() + NOTICE_LIFE_MS;
      const value = {publisher, revision, digest};
      this.publish({kind: 'manifest-notice', value, expiresAtMs});
    }
  }

  /** The highest revision that a reachable entry has in force, by heartbeat or notice; 0 when none is known. */
  highestRevision(): number {
    const notices = this.rows('manifest-notice');
    return Math.max(
      0,
      ...this.#replica.reachable().map(({revision}) => revision),
      ...notices.map(({value}) => value.revision),
    );
  }

  /** Asks peers for a manifest record newer than `knownRevision`. @returns Its text, unchecked; undefined when none was had in time. */
  fetchManifest(
    knownRevision: number,
    deadlineMs: number,
  ): Promise<string | undefined> {
    return this.#fetcher.fetch(knownRevision, deadlineMs);
  }

  /** Hands ledger records over to another entry. */
  handOver(
    target: Member,
    records: readonly LedgerRecord[],
  ): Promise<Result<HandOverAnswer, PeerError>> {
    return handOverRecords(records, {
      clients: this.#clients,
      sender: this.#reconciler.sender(),
      target: toTarget(target),
      timeoutMs: this.#timings.transferTimeoutMs,
    });
  }

  protected override handle(message: PeerMessage): void {
    switch (message.kind) {
      case 'period':
        return this.#onPeriod();
      case 'exchange':
        return this.#onExchange(message.request, message.from, message.answer);
      case 'exchange-answer':
        return this.#onExchangeAnswer(message.response, message.target);
      case 'push':
        return this.#onPush(message.request, message.from, message.answer);
    }
  }

  async #join(): Promise<void> {
    const seeds = this.#options
      .seeds()
      .filter(({address}) => address !== this.self.peerAddress);
    const near = seeds.filter(({region}) => region === this.self.region);
    const targets = [
      ...this.#selection.sample(near, FIRST_SEEDS),
      ...this.#selection.sample(
        seeds.filter(seed => !near.includes(seed)),
        near.length === 0 ? FIRST_SEEDS : 1,
      ),
    ];
    await Promise.all(targets.map(target => this.#exchangeWith(target)));
    this.#spread([this.#replica.updateSelf({})], 'system');
  }

  #schedule(): void {
    const {periodMs} = this.#timings;
    const step = this.#options.random.nextBelow(JITTER_STEPS) / JITTER_STEPS;
    const factor = 1 + JITTER_SHARE * (step - 0.5);
    this.#timer = setTimeout(() => {
      this.post({kind: 'period'});
      this.#schedule();
    }, periodMs * factor);
  }

  #onPeriod(): void {
    this.#replica.onPeriod();
    this.#clients.closeIdle(this.#options.clock.now());
    this.#meter.read();
    const near = this.#selection.nextInRegion();
    const across = this.#selection.nextAcross();
    for (const target of [near, across]) {
      if (target !== undefined) {
        void this.#exchangeWith(target);
      }
    }
  }

  async #exchangeWith(target: PeerTarget): Promise<void> {
    const request = this.#reconciler.createRequest();
    const answer = await this.#callExchange(target, request);
    if (answer !== undefined) {
      this.post({kind: 'exchange-answer', response: answer, target});
    }
  }

  async #callExchange(
    target: PeerTarget,
    request: ExchangeRequest,
  ): Promise<ExchangeResponse | undefined> {
    const answer = await this.#clients.call(
      target,
      'exchange',
      this.#timings.callTimeoutMs,
      (client, options) => client.exchange(request, options),
    );
    if (answer.isErr()) {
      this.#clients.drop(target);
      return undefined;
    }
    return answer.value;
  }

  #onExchange(
    request: ExchangeRequest,
    from: PeerIdentity,
    answer: (response: ExchangeResponse) => void,
  ): void {
    const {fresh, response} = this.#reconciler.answer(request);
    answer(response);
    this.#onFreshFromExchange(fresh, from.region);
  }

  #onExchangeAnswer(response: ExchangeResponse, target: PeerTarget): void {
    const {fresh, followUp} = this.#reconciler.receiveAnswer(response);
    this.#onFreshFromExchange(fresh, target.region);
    if (followUp !== undefined) {
      void this.#callExchange(target, followUp).then(last => {
        if (last !== undefined) {
          const rows = this.#reconciler.receiveRows(last.rows);
          this.#onFreshFromExchange(rows, target.region);
        }
      });
    }
  }

  #onFreshFromExchange(fresh: readonly Row[], fromRegion: string): void {
    if (fromRegion !== this.self.region) {
      this.#spread(fresh, 'region', fromRegion);
    }
  }

  #onPush(
    request: PushRequest,
    from: PeerIdentity,
    answer: (held: number) => void,
  ): void {
    const {fresh, held} = this.#reconciler.receivePush(request.rows);
    answer(held);
    if (request.reach === Reach.SYSTEM) {
      this.#spread(fresh, 'entered-region', from.region);
    } else if (request.reach === Reach.REGION) {
      this.#spread(fresh, 'relay', from.region);
    }
  }

  #spread(
    rows: readonly Row[],
    audience: Audience,
    fromRegion = this.self.region,
  ): void {
    this.#spreader.spread(rows, audience, fromRegion);
  }

  #isNoticedInRegion(revision: number): boolean {
    const regions = new Map(
      this.members().map(({member}) => [member.entry, member.region]),
    );
    return this.rows('manifest-notice').some(
      ({value}) =>
        value.revision >= revision &&
        regions.get(value.publisher) === this.self.region,
    );
  }

  #createInbox(): PeerInbox {
    return {
      onExchange: (request, from) =>
        this.#ask(answer => ({kind: 'exchange', request, from, answer})),
      onPush: async (request, from) => {
        const held = await this.#ask<number>(answer => ({
          kind: 'push',
          request,
          from,
          answer,
        }));
        return {held, refused: request.rows.length - held};
      },
      onFetchManifest: ({knownRevision}) => ({
        record: this.#options.handler.onManifestWanted(knownRevision) ?? '',
      }),
      onHandOver: (request, from) => ({
        acceptedKeys: [...this.#onHandOver(request.records, from)],
      }),
      onCaller: (from, context) =>
        this.#server.assignRegion(context, from.region === this.self.region),
    };
  }

  #onHandOver(
    wire: Parameters<typeof fromWireRecord>[0][],
    from: PeerIdentity,
  ): readonly string[] {
    const records: LedgerRecord[] = [];
    for (const record of wire) {
      const read = fromWireRecord(record);
      if (read === undefined) {
        this.#metrics.refusals('malformed').add();
      } else {
        records.push(read);
      }
    }
    return this.#options.handler.onLedgerRecords(records, from);
  }

  /** Posts a message that a call waits for; a full mailbox refuses the call. */
  #ask<Answer>(
    toMessage: (answer: (value: Answer) => void) => PeerMessage,
  ): Promise<Answer> {
    return new Promise((resolve, reject) => {
      if (!this.post(toMessage(resolve))) {
        this.#metrics.refusals('busy').add();
        reject(
          new ConnectError('Too many calls wait.', Code.ResourceExhausted),
        );
      }
    });
  }

  #reportHealth(member: Member, from: MemberHealth, to: MemberHealth): void {
    this.#options.reporter.report({
      level: to === 'live' ? 'info' : 'warn',
      code: `member.${to}`,
      subject: member.entry,
      message: `The entry was ${from} and is ${to} as seen from here.`,
    });
  }

  #reportReplaced(incarnation: string): void {
    this.#options.reporter.report({
      level: 'error',
      code: 'member.replaced',
      subject: this.self.entry,
      message: `A later process (${incarnation}) runs under this entry's name; stop one of the two.`,
    });
    this.#options.handler.onReplaced(incarnation);
  }

  #registerGauges(): void {
    this.#metrics.gauge('members', 'Entries that can be called.', () => {
      return this.#replica.reachable().length;
    });
    this.#metrics.gauge('connections', 'Connections between entries.', () => {
      return this.#meter.open;
    });
  }
}

function toFirstMember({member, listen, clock}: PeerTaskOptions): Member {
  return {
    entry: member.entry,
    incarnation: member.incarnation,
    state: 'joining',
    callerAddress: member.callerAddress,
    peerAddress: member.peerAddress ?? `${listen.host}:${listen.port}`,
    region: member.region,
    zone: member.zone,
    startedAtMs: Math.floor(clock.wallTime()),
    homes: [],
    heartbeat: 0,
    load: 0,
    revision: 0,
  };
}
