/**
 * Pushes new rows to peers without waiting for the next exchange. The entry that
 * first learns a row pushes it to its own region and to each other region; a
 * receiver that did not have the row pushes it on once (rumor mongering: Demers
 * et al., "Epidemic Algorithms for Replicated Database Maintenance", 1987).
 * Anti-entropy delivers rows whose pushes were lost.
 */

import {create} from '@bufbuild/protobuf';
import {
  PushRequestSchema,
  Reach,
  type PushRequest,
} from './gen/wasabidyke/peer/v1/peer_pb.js';
import {groupBy} from './group-by.js';
import type {PeerClients, PeerTarget} from './peer-clients.js';
import type {PeerSelection} from './peer-selection.js';
import type {PeerTimings} from './peer-timings.js';
import {MAXIMUM_MESSAGE_ROWS, type SenderFields} from './reconciler.js';
import {toWireRow} from './row-codec.js';
import type {Row} from './rows.js';

/** Maximum number of peers of its own region that an entry pushes to directly. */
const MAXIMUM_DIRECT_PEERS = 20;

/** Number of peers a receiver pushes on to in a region too large for direct pushes to all. */
const RELAY_PEERS_LARGE_REGION = 6;

/** Number of peers a receiver pushes on to in a region where direct pushes go to all. */
const RELAY_PEERS_SMALL_REGION = 2;

/** Number of peers in each other region that the first entry pushes to. */
const PEERS_PER_OTHER_REGION = 2;

/** Maximum number of rows queued for pushing. */
const MAXIMUM_QUEUED_ROWS = 4_096;

/** Set of peers that a row is pushed to. */
export type SpreadScope =
  /** Peers in all regions: this entry is the first to learn the row. */
  | 'system'
  /** This entry's region, and each other region except the sender's. */
  | 'entered-region'
  /** This entry's region: the row has just arrived there by an exchange. */
  | 'region'
  /** A few peers of this entry's region: others of the region push the row too. */
  | 'relay';

interface QueuedRow {
  readonly row: Row;
  readonly scope: SpreadScope;
  /** Region that the row was received from. */
  readonly fromRegion: string;
}

/** Options of `Spreader`. */
export interface SpreaderOptions {
  readonly clients: PeerClients;
  readonly selection: PeerSelection;
  readonly timings: PeerTimings;
  readonly sender: () => SenderFields;
}

/** Pushes new rows to peers in batches. */
export class Spreader {
  readonly #options: SpreaderOptions;
  #queue: QueuedRow[] = [];
  #timer: NodeJS.Timeout | undefined;

  constructor(options: SpreaderOptions) {
    this.#options = options;
  }

  /** Number of rows queued for pushing. */
  get queuedRowCount(): number {
    return this.#queue.length;
  }

  /** Queues rows that are pushed together after a short delay. Rows beyond the queue's limit are left to anti-entropy. */
  spread(rows: readonly Row[], scope: SpreadScope, fromRegion: string): void {
    const freeCapacity = MAXIMUM_QUEUED_ROWS - this.#queue.length;
    for (const row of rows.slice(0, freeCapacity)) {
      this.#queue.push({row, scope, fromRegion});
    }
    if (this.#queue.length > 0 && this.#timer === undefined) {
      const {batchDelayMs} = this.#options.timings;
      this.#timer = setTimeout(() => void this.flush(), batchDelayMs);
    }
  }

  /** Pushes all queued rows. Resolves when every push was answered or has failed. */
  async flush(): Promise<void> {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    const groups = groupBy(
      this.#queue,
      ({scope, fromRegion}) => `${scope} ${fromRegion}`,
    );
    this.#queue = [];
    const pushes = [...groups.values()].flatMap(group => {
      const rows = group.map(({row}) => row);
      return this.#pushAll(rows, group[0].scope, group[0].fromRegion);
    });
    await Promise.all(pushes);
  }

  /** Pushes one row to one peer, which does not push it on. @returns Whether the peer now holds the row. */
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

  /** Discards all queued rows and cancels the pending push. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    this.#queue = [];
  }

  #pushAll(
    rows: readonly Row[],
    scope: SpreadScope,
    fromRegion: string,
  ): ReadonlyArray<Promise<boolean>> {
    const sameRegionTargets = this.#targetsInRegion(scope);
    const otherRegionTargets = this.#targetsInOtherRegions(scope, fromRegion);
    return [
      ...sameRegionTargets.map(target =>
        this.#push(target, rows, Reach.REGION),
      ),
      ...otherRegionTargets.map(target =>
        this.#push(target, rows, Reach.SYSTEM),
      ),
    ];
  }

  #targetsInRegion(scope: SpreadScope): readonly PeerTarget[] {
    const {selection} = this.#options;
    const peers = selection.sameRegion();
    if (scope !== 'relay') {
      return selection.sample(peers, MAXIMUM_DIRECT_PEERS);
    }
    const isLarge = peers.length > MAXIMUM_DIRECT_PEERS;
    const count = isLarge ? RELAY_PEERS_LARGE_REGION : RELAY_PEERS_SMALL_REGION;
    return selection.sample(peers, count);
  }

  #targetsInOtherRegions(
    scope: SpreadScope,
    fromRegion: string,
  ): readonly PeerTarget[] {
    if (scope !== 'system' && scope !== 'entered-region') {
      return [];
    }
    const {selection} = this.#options;
    const count = scope === 'system' ? PEERS_PER_OTHER_REGION : 1;
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
