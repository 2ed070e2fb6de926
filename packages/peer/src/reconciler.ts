/**
 * Anti-entropy: two entries compare their tables and send each other what the
 * other lacks (Demers et al., "Epidemic Algorithms for Replicated Database
 * Maintenance", 1987). Heartbeats travel as columns; tables of other kinds are
 * compared by one sum each and in detail only where the sums differ.
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
import {SUMMED_KINDS, toBeat, type Replica} from './replica.js';
import {
  fromWireKind,
  fromWireRow,
  toSafeInteger,
  toWireKind,
  toWireRow,
} from './row-codec.js';
import type {Beat, RowVersion} from './row-table.js';
import type {Row, RowId, RowKind} from './rows.js';

/** Most rows of one message. */
export const MAXIMUM_MESSAGE_ROWS = 256;

/** Longest column of one message. */
export const MAXIMUM_COLUMN_LENGTH = 8_192;

/** Identity of this process on the wire. */
export interface SenderFields {
  readonly entry: string;
  readonly incarnation: string;
  readonly region: string;
}

/** What a received message changed. */
export interface Received {
  /** Rows that became known or rose. */
  readonly fresh: readonly Row[];
}

/** Builds and reads the messages by which two replicas agree. */
export class Reconciler {
  readonly #replica: Replica;
  readonly #metrics: PeerMetrics;

  constructor(replica: Replica, metrics: PeerMetrics) {
    this.#replica = replica;
    this.#metrics = metrics;
  }

  /** The message that starts an exchange. */
  createRequest(): ExchangeRequest {
    const summaries = SUMMED_KINDS.map(kind =>
      create(SummarySchema, {
        kind: toWireKind(kind),
        sum: this.#replica.table.sum(kind),
      }),
    );
    return create(ExchangeRequestSchema, {
      sender: this.sender(),
      beats: toWireBeats(this.#replica.beats()),
      summaries,
    });
  }

  /** Answers a message of an exchange. */
  answer(request: ExchangeRequest): Received & {response: ExchangeResponse} {
    const fresh = this.receiveRows(request.rows);
    const reply = new Reply(this.#replica);
    reply.sendRows(this.#bound(request.wanted));
    if (request.beats !== undefined) {
      this.#compareBeats(this.#readBeats(request.beats), reply);
    }
    const response = create(ExchangeResponseSchema, {
      sender: this.sender(),
      ...reply.toMessage(),
      digests: this.#differingDigests(request),
    });
    return {fresh, response};
  }

  /** Takes in the answer; the follow-up, where one is due, completes the exchange. */
  receiveAnswer(
    response: ExchangeResponse,
  ): Received & {followUp: ExchangeRequest | undefined} {
    const fresh = this.receiveRows(response.rows);
    const reply = new Reply(this.#replica);
    reply.sendRows(this.#bound(response.wanted));
    if (response.beats !== undefined) {
      this.#takeBeats(this.#readBeats(response.beats), reply);
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

  /** Takes in rows. @returns Those that became known or rose. */
  receiveRows(rows: readonly WireRow[]): readonly Row[] {
    return this.receivePush(rows).fresh;
  }

  /** Takes in pushed rows, and counts those that stand in the table now. */
  receivePush(rows: readonly WireRow[]): Received & {held: number} {
    const fresh: Row[] = [];
    let held = 0;
    for (const wire of this.#bound(rows, MAXIMUM_MESSAGE_ROWS)) {
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

  /** Identity of this process. */
  sender(): SenderFields {
    const {entry, incarnation, region} = this.#replica.self;
    return {entry, incarnation, region};
  }

  /** Answers heartbeats with newer ones, missing rows, and requests for rows. */
  #compareBeats(beats: readonly Beat[], reply: Reply): void {
    const mentioned = new Set<RowId>();
    for (const beat of beats) {
      mentioned.add(beat.id);
      this.#compareBeat(beat, reply);
    }
    for (const {id} of this.#replica.table.entries('member')) {
      if (!mentioned.has(id) && this.#replica.isTold(id)) {
        reply.sendRow(id);
      }
    }
  }

  #compareBeat(beat: Beat, reply: Reply): void {
    const present = this.#replica.table.find('member', beat.id);
    if (present === undefined || present.version < beat.version) {
      reply.want(beat.id);
      return;
    }
    if (!this.#replica.isTold(beat.id)) {
      this.#replica.receiveBeat(beat);
      return;
    }
    if (present.version > beat.version) {
      reply.sendRow(beat.id);
    } else if (present.value.heartbeat > beat.heartbeat) {
      reply.sendBeat(toBeat({id: beat.id, row: present}));
    } else {
      this.#replica.receiveBeat(beat);
    }
  }

  #takeBeats(beats: readonly Beat[], reply: Reply): void {
    for (const beat of beats) {
      if (!this.#replica.receiveBeat(beat)) {
        reply.want(beat.id);
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
        reply.want(id);
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
    if (!this.#areColumns(ids, versions)) {
      return [];
    }
    return ids.map((id, index) => ({
      id,
      version: toSafeInteger(versions[index]) ?? 0,
    }));
  }

  #readBeats(beats: Beats): readonly Beat[] {
    const {ids, versions, heartbeats, loads, revisions} = beats;
    if (!this.#areColumns(ids, versions, heartbeats, loads, revisions)) {
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

  #areColumns(...columns: ReadonlyArray<readonly unknown[]>): boolean {
    const length = columns[0].length;
    const isRegular =
      length <= MAXIMUM_COLUMN_LENGTH &&
      columns.every(column => column.length === length);
    if (!isRegular) {
      this.#metrics.refusals('malformed').add();
    }
    return isRegular;
  }

  #bound<Item>(
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

/** Gathers what one message carries, within its bounds. */
class Reply {
  readonly #replica: Replica;
  readonly #rows = new Map<RowId, Row>();
  readonly #wanted = new Set<RowId>();
  readonly #beats: Beat[] = [];

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

  sendBeat(beat: Beat): void {
    this.#beats.push(beat);
  }

  want(id: RowId): void {
    if (this.#wanted.size < MAXIMUM_MESSAGE_ROWS) {
      this.#wanted.add(id);
    }
  }

  toMessage() {
    return {
      beats: toWireBeats(this.#beats),
      wanted: [...this.#wanted],
      rows: [...this.#rows.values()].map(toWireRow),
    };
  }
}

function toWireBeats(beats: readonly Beat[]): Beats {
  return create(BeatsSchema, {
    ids: beats.map(beat => beat.id),
    versions: beats.map(beat => BigInt(beat.version)),
    heartbeats: beats.map(beat => beat.heartbeat),
    loads: beats.map(beat => beat.load),
    revisions: beats.map(beat => beat.revision),
  });
}
