/**
 * Anti-entropy: two entries compare their tables and send each other the rows
 * that the other lacks (Demers et al., "Epidemic Algorithms for Replicated Database
 * Maintenance", 1987). Heartbeats are sent in full, as columns. Rows of each other
 * kind are compared by one checksum, and row by row only if the checksums differ.
 */

import {create} from '@bufbuild/protobuf';
import {
  BeatsSchema,
  DigestSchema,
  ExchangeRequestSchema,
  ExchangeResponseSchema,
  SummarySchema,
  type Beats,
  type Digest,
  type ExchangeRequest,
  type ExchangeResponse,
  type Row as WireRow,
} from './gen/wasabidyke/peer/v1/peer_pb.js';
import type {PeerMetrics} from './peer-metrics.js';
import {SUMMED_KINDS, toHeartbeatUpdate, type Replica} from './replica.js';
import {
  fromWireKind,
  fromWireRow,
  toSafeInteger,
  toWireKind,
  toWireRow,
} from './row-codec.js';
import type {HeartbeatUpdate, RowVersion} from './row-table.js';
import type {Row, RowId, RowKind} from './rows.js';

/** Maximum number of rows in one message. */
export const MAXIMUM_MESSAGE_ROWS = 256;

/** Maximum length of a column in one message. */
export const MAXIMUM_COLUMN_LENGTH = 8_192;

/** Identity of the sending process in a message. */
export interface SenderFields {
  readonly entry: string;
  readonly incarnation: string;
  readonly region: string;
}

/** Result of receiving rows. */
export interface ReceiveResult {
  /** Rows that were added to the table or replaced a lower row. */
  readonly fresh: readonly Row[];
}

/** Builds and processes the messages that bring two replicas into agreement. */
export class Reconciler {
  readonly #replica: Replica;
  readonly #metrics: PeerMetrics;

  constructor(replica: Replica, metrics: PeerMetrics) {
    this.#replica = replica;
    this.#metrics = metrics;
  }

  /** Creates the request that starts an exchange. */
  createRequest(): ExchangeRequest {
    const summaries = SUMMED_KINDS.map(kind =>
      create(SummarySchema, {
        kind: toWireKind(kind),
        sum: this.#replica.table.sum(kind),
      }),
    );
    return create(ExchangeRequestSchema, {
      sender: this.sender(),
      beats: toWireBeats(this.#replica.heartbeatUpdates()),
      summaries,
    });
  }

  /** Processes a request of an exchange and creates the response. */
  answer(
    request: ExchangeRequest,
  ): ReceiveResult & {response: ExchangeResponse} {
    const fresh = this.receiveRows(request.rows);
    const reply = new Reply(this.#replica);
    reply.sendRows(this.#truncate(request.wanted));
    if (request.beats !== undefined) {
      this.#compareHeartbeats(this.#readHeartbeats(request.beats), reply);
    }
    const response = create(ExchangeResponseSchema, {
      sender: this.sender(),
      ...reply.toMessage(),
      digests: this.#differingDigests(request),
    });
    return {fresh, response};
  }

  /** Processes the response; the follow-up request, if any, completes the exchange. */
  receiveAnswer(
    response: ExchangeResponse,
  ): ReceiveResult & {followUp: ExchangeRequest | undefined} {
    const fresh = this.receiveRows(response.rows);
    const reply = new Reply(this.#replica);
    reply.sendRows(this.#truncate(response.wanted));
    if (response.beats !== undefined) {
      this.#receiveHeartbeats(this.#readHeartbeats(response.beats), reply);
    }
    for (const digest of response.digests) {
      this.#compareDigest(digest, reply);
    }
    const message = reply.toMessage();
    const sender = this.sender();
    const followUp = reply.isEmpty
      ? undefined
      : create(ExchangeRequestSchema, {sender, ...message, beats: undefined});
    return {fresh, followUp};
  }

  /** Merges received rows. @returns Those that were added or replaced a lower row. */
  receiveRows(rows: readonly WireRow[]): readonly Row[] {
    return this.receivePush(rows).fresh;
  }

  /** Merges pushed rows and counts those that the table now holds, at this version or a higher one. */
  receivePush(rows: readonly WireRow[]): ReceiveResult & {held: number} {
    const fresh: Row[] = [];
    let held = 0;
    for (const wire of this.#truncate(rows, MAXIMUM_MESSAGE_ROWS)) {
      const row = fromWireRow(wire);
      if (row === undefined) {
        this.#metrics.refusals('malformed').add();
        continue;
      }
      const outcome = this.#replica.receive(row);
      const isFresh = outcome === 'added' || outcome === 'raised';
      held += isFresh || outcome === 'known' ? 1 : 0;
      if (isFresh) {
        fresh.push(row);
      }
    }
    return {fresh, held};
  }

  /** Returns the sender fields of this process. */
  sender(): SenderFields {
    const {entry, incarnation, region} = this.#replica.self;
    return {entry, incarnation, region};
  }

  /** Fills the reply with newer heartbeats, rows that the peer lacks, and requests for rows that this entry lacks. */
  #compareHeartbeats(updates: readonly HeartbeatUpdate[], reply: Reply): void {
    const mentioned = new Set<RowId>();
    for (const update of updates) {
      mentioned.add(update.id);
      this.#compareHeartbeat(update, reply);
    }
    for (const {id} of this.#replica.table.entries('member')) {
      if (!mentioned.has(id) && this.#replica.isAnnounced(id)) {
        reply.sendRow(id);
      }
    }
  }

  #compareHeartbeat(update: HeartbeatUpdate, reply: Reply): void {
    const present = this.#replica.table.find('member', update.id);
    if (present === undefined || present.version < update.version) {
      reply.requestRow(update.id);
      return;
    }
    if (!this.#replica.isAnnounced(update.id)) {
      this.#replica.receiveHeartbeat(update);
      return;
    }
    if (present.version > update.version) {
      reply.sendRow(update.id);
    } else if (present.value.heartbeat > update.heartbeat) {
      reply.sendHeartbeat(toHeartbeatUpdate({id: update.id, row: present}));
    } else {
      this.#replica.receiveHeartbeat(update);
    }
  }

  #receiveHeartbeats(updates: readonly HeartbeatUpdate[], reply: Reply): void {
    for (const update of updates) {
      if (!this.#replica.receiveHeartbeat(update)) {
        reply.requestRow(update.id);
      }
    }
  }

  #differingDigests(request: ExchangeRequest): Digest[] {
    const digests: Digest[] = [];
    for (const summary of request.summaries.slice(0, SUMMED_KINDS.length)) {
      const kind = fromWireKind(summary.kind);
      const isSummed = kind !== undefined && SUMMED_KINDS.includes(kind);
      if (isSummed && this.#replica.table.sum(kind) !== summary.sum) {
        digests.push(this.#createDigest(kind));
      }
    }
    return digests;
  }

  #createDigest(kind: RowKind): Digest {
    const versions = this.#replica.table.versions(kind);
    return create(DigestSchema, {
      kind: toWireKind(kind),
      ids: versions.map(({id}) => id),
      versions: versions.map(({version}) => BigInt(version)),
    });
  }

  #compareDigest(digest: Digest, reply: Reply): void {
    const kind = fromWireKind(digest.kind);
    if (kind === undefined || !SUMMED_KINDS.includes(kind)) {
      this.#metrics.refusals('malformed').add();
      return;
    }
    const mentioned = new Set<RowId>();
    for (const {id, version} of this.#readVersions(digest)) {
      mentioned.add(id);
      const present = this.#replica.table.find(kind, id);
      if (present === undefined || present.version < version) {
        reply.requestRow(id);
      } else if (present.version > version) {
        reply.sendRow(id);
      }
    }
    for (const {id} of this.#replica.table.versions(kind)) {
      if (!mentioned.has(id)) {
        reply.sendRow(id);
      }
    }
  }

  #readVersions({ids, versions}: Digest): readonly RowVersion[] {
    if (!this.#areValidColumns(ids, versions)) {
      return [];
    }
    return ids.map((id, index) => ({
      id,
      version: toSafeInteger(versions[index]) ?? 0,
    }));
  }

  #readHeartbeats(beats: Beats): readonly HeartbeatUpdate[] {
    const {ids, versions, heartbeats, loads, revisions} = beats;
    if (!this.#areValidColumns(ids, versions, heartbeats, loads, revisions)) {
      return [];
    }
    return ids.map((id, index) => ({
      id,
      version: toSafeInteger(versions[index]) ?? 0,
      heartbeat: heartbeats[index],
      load: loads[index],
      revision: revisions[index],
    }));
  }

  #areValidColumns(...columns: ReadonlyArray<readonly unknown[]>): boolean {
    const length = columns[0].length;
    const isValid =
      length <= MAXIMUM_COLUMN_LENGTH &&
      columns.every(column => column.length === length);
    if (!isValid) {
      this.#metrics.refusals('malformed').add();
    }
    return isValid;
  }

  #truncate<Item>(
    items: readonly Item[],
    limit = MAXIMUM_COLUMN_LENGTH,
  ): readonly Item[] {
    if (items.length <= limit) {
      return items;
    }
    this.#metrics.refusals('too-many').add(items.length - limit);
    return items.slice(0, limit);
  }
}

/** Collects the contents of one message, within its limits. */
class Reply {
  readonly #replica: Replica;
  readonly #rows = new Map<RowId, Row>();
  readonly #wanted = new Set<RowId>();
  readonly #heartbeatUpdates: HeartbeatUpdate[] = [];

  constructor(replica: Replica) {
    this.#replica = replica;
  }

  get isEmpty(): boolean {
    return this.#rows.size === 0 && this.#wanted.size === 0;
  }

  sendRows(ids: readonly RowId[]): void {
    for (const id of ids) {
      this.sendRow(id);
    }
  }

  sendRow(id: RowId): void {
    const row = this.#replica.table.findAny(id);
    if (row !== undefined && this.#rows.size < MAXIMUM_MESSAGE_ROWS) {
      this.#rows.set(id, row);
    }
  }

  sendHeartbeat(update: HeartbeatUpdate): void {
    this.#heartbeatUpdates.push(update);
  }

  requestRow(id: RowId): void {
    if (this.#wanted.size < MAXIMUM_MESSAGE_ROWS) {
      this.#wanted.add(id);
    }
  }

  toMessage() {
    return {
      beats: toWireBeats(this.#heartbeatUpdates),
      wanted: [...this.#wanted],
      rows: [...this.#rows.values()].map(toWireRow),
    };
  }
}

function toWireBeats(updates: readonly HeartbeatUpdate[]): Beats {
  return create(BeatsSchema, {
    ids: updates.map(update => update.id),
    versions: updates.map(update => BigInt(update.version)),
    heartbeats: updates.map(update => update.heartbeat),
    loads: updates.map(update => update.load),
    revisions: updates.map(update => update.revision),
  });
}
