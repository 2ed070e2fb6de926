/**
 * Spreads fresh rows at once. The first to learn a row pushes it to its region
 * and into each other region; a receiver that did not know it pushes it on, once
 * (rumour mongering: Demers et al., "Epidemic Algorithms for Replicated Database
 * Maintenance", 1987). What is lost on the way, anti-entropy repairs.
 */

import {create} from '@bufbuild/protobuf';
import {
  PushRequestSchema,
  Reach,
  type PushRequest,
} from './gen/wasabidyke/peer/v1/peer_pb.js';
import {groupBy} from './group.js';
import type {PeerClients, PeerTarget} from './peer-clients.js';
import type {PeerSelection} from './peer-selection.js';
import type {PeerTimings} from './peer-timings.js';
import {MAXIMUM_MESSAGE_ROWS, type SenderFields} from './reconciler.js';
import {toWireRow} from './row-codec.js';
import type {Row} from './rows.js';

/** Up to this many peers of a region are pushed to directly. */
const DIRECT_PEERS = 20;

/** A receiver pushes on to this many where not all were reached directly. */
const RELAY_PEERS_LARGE_REGION = 6;

/** A receiver pushes on to this many where all should have been reached directly. */
const RELAY_PEERS_SMALL_REGION = 2;

/** Peers of each other region that the first to learn a row pushes to. */
const PEERS_ACROSS = 2;

/** Rows that may wait to be pushed. */
const MAXIMUM_WAITING_ROWS = 4_096;

/** Who is to hear of a row. */
export type Audience =
  /** All regions; this entry is the first to know. */
  | 'system'
  /** This entry's region, and on to regions that the sender did not come from. */
  | 'entered-region'
  /** This entry's region, which the row has just entered by an exchange. */
  | 'region'
  /** Some of this entry's region; others push as well. */
  | 'relay';

interface Waiting {
  readonly row: Row;
  readonly audience: Audience;
  /** Region that the row came from. */
  readonly fromRegion: string;
}

/** Parts of a spreader. */
export interface SpreaderOptions {
  readonly clients: PeerClients;
  readonly selection: PeerSelection;
  readonly timings: PeerTimings;
  readonly sender: () => SenderFields;
}

/** Spreads fresh rows at once. */
export class Spreader {
  readonly #options: SpreaderOptions;
  #waiting: Waiting[] = [];
  #timer: NodeJS.Timeout | undefined;

  constructor(options: SpreaderOptions) {
    this.#options = options;
  }

  /** Rows that wait to be pushed. */
  get waiting(): number {
    return this.#waiting.length;
  }

  /** Has rows pushed within a moment. Rows beyond the bound are left to anti-entropy. */
  spread(rows: readonly Row[], audience: Audience, fromRegion: string): void {
    const room = MAXIMUM_WAITING_ROWS - this.#waiting.length;
    for (const row of rows.slice(0, room)) {
      this.#waiting.push({row, audience, fromRegion});
    }
    if (this.#waiting.length > 0 && this.#timer === undefined) {
      const {gatherMs} = this.#options.timings;
      this.#timer = setTimeout(() => void this.flush(), gatherMs);
    }
  }

  /** Pushes all that wait. Resolves when every push was answered or given up. */
  async flush(): Promise<void> {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    const groups = groupBy(
      this.#waiting,
      ({audience, fromRegion}) => `${audience} ${fromRegion}`,
    );
    this.#waiting = [];
    const pushes = [...groups.values()].flatMap(group => {
      const rows = group.map(({row}) => row);
      return this.#pushAll(rows, group[0].audience, group[0].fromRegion);
    });
    await Promise.all(pushes);
  }

  /** Pushes one row to one peer, which keeps it to itself. @returns Whether the peer holds it now. */
  deliver(target: PeerTarget, row: Row, timeoutMs: number): Promise<boolean> {
    return this.#push(target, [row], Reach.RECEIVER, timeoutMs);
  }

  async #push(
    target: PeerTarget,
    rows: readonly Row[],
    reach: Reach,
    timeoutMs = this.#options.timings.callTimeoutMs,
  ): Promise<boolean> {
    const {clients, sender} = this.#options;
    const answers = await Promise.all(
      toRequests(sender(), rows, reach).map(request =>
        clients.call(target, 'push', timeoutMs, (client, options) =>
          client.push(request, options),
        ),
      ),
    );
    const held = answers.reduce(
      (sum, answer) => sum + (answer.isOk() ? answer.value.held : 0),
      0,
    );
    return held === rows.length;
  }

  /** Pushes nothing more. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    this.#waiting = [];
  }

  #pushAll(
    rows: readonly Row[],
    audience: Audience,
    fromRegion: string,
  ): ReadonlyArray<Promise<boolean>> {
    const near = this.#targetsInRegion(audience);
    const across = this.#targetsAcross(audience, fromRegion);
    return [
      ...near.map(target => this.#push(target, rows, Reach.REGION)),
      ...across.map(target => this.#push(target, rows, Reach.SYSTEM)),
    ];
  }

  #targetsInRegion(audience: Audience): readonly PeerTarget[] {
    const {selection} = this.#options;
    const peers = selection.sameRegion();
    if (audience !== 'relay') {
      return selection.sample(peers, DIRECT_PEERS);
    }
    const isLarge = peers.length > DIRECT_PEERS;
    const count = isLarge ? RELAY_PEERS_LARGE_REGION : RELAY_PEERS_SMALL_REGION;
    return selection.sample(peers, count);
  }

  #targetsAcross(
    audience: Audience,
    fromRegion: string,
  ): readonly PeerTarget[] {
    if (audience !== 'system' && audience !== 'entered-region') {
      return [];
    }
    const {selection} = this.#options;
    const count = audience === 'system' ? PEERS_ACROSS : 1;
    return [...selection.otherRegions()]
      .filter(([region]) => region !== fromRegion)
      .flatMap(([, peers]) => selection.sample(peers, count));
  }
}

function toRequests(
  sender: SenderFields,
  rows: readonly Row[],
  reach: Reach,
): readonly PushRequest[] {
  const requests: PushRequest[] = [];
  for (let start = 0; start < rows.length; start += MAXIMUM_MESSAGE_ROWS) {
    const part = rows.slice(start, start + MAXIMUM_MESSAGE_ROWS);
    const wire = part.map(toWireRow);
    requests.push(create(PushRequestSchema, {sender, reach, rows: wire}));
  }
  return requests;
}
