/** Performs and answers row exchanges, receives pushes, and forwards new rows to other peers. */

import {
  Reach,
  type ExchangeRequest,
  type ExchangeResponse,
  type PushRequest,
} from './gen/wasabidyke/peer/v1/peer_pb.js';
import type {PeerClients, PeerTarget} from './peer-clients.js';
import type {PeerTimings} from './peer-timings.js';
import type {Reconciler} from './reconciler.js';
import type {Row} from './rows.js';
import type {Spreader} from './spreader.js';

/** Options of `Exchanger`. */
export interface ExchangerOptions {
  readonly ownRegion: string;
  readonly clients: PeerClients;
  readonly reconciler: Reconciler;
  readonly spreader: Spreader;
  readonly timings: PeerTimings;
}

/** Performs and answers row exchanges, receives pushes, and forwards new rows to other peers. */
export class Exchanger {
  readonly #options: ExchangerOptions;

  constructor(options: ExchangerOptions) {
    this.#options = options;
  }

  /** Exchanges rows with a peer; a follow-up call completes the exchange when the tables differ. */
  async exchangeWith(target: PeerTarget): Promise<void> {
    const {reconciler} = this.#options;
    const response = await this.#call(target, reconciler.createRequest());
    if (response === undefined) {
      return;
    }
    const {fresh, followUp} = reconciler.receiveAnswer(response);
    this.#forward(fresh, target.region);
    const followUpResponse = followUp && (await this.#call(target, followUp));
    if (followUpResponse !== undefined) {
      this.#forward(
        reconciler.receiveRows(followUpResponse.rows),
        target.region,
      );
    }
  }

  /** Answers a peer's exchange. */
  answer(request: ExchangeRequest, fromRegion: string): ExchangeResponse {
    const {fresh, response} = this.#options.reconciler.answer(request);
    this.#forward(fresh, fromRegion);
    return response;
  }

  /** Merges pushed rows. @returns The number of them that the table contains now. */
  receivePush({rows, reach}: PushRequest, fromRegion: string): number {
    const {reconciler, spreader} = this.#options;
    const {fresh, held} = reconciler.receivePush(rows);
    if (reach === Reach.SYSTEM) {
      spreader.spread(fresh, 'entered-region', fromRegion);
    } else if (reach === Reach.REGION) {
      spreader.spread(fresh, 'relay', fromRegion);
    }
    return held;
  }

  /** Forwards new rows from another region within this one; rows from this region are spread by anti-entropy. */
  #forward(fresh: readonly Row[], fromRegion: string): void {
    if (fromRegion !== this.#options.ownRegion) {
      this.#options.spreader.spread(fresh, 'region', fromRegion);
    }
  }

  async #call(
    target: PeerTarget,
    request: ExchangeRequest,
  ): Promise<ExchangeResponse | undefined> {
    const {clients, timings} = this.#options;
    const answer = await clients.call(
      target,
      'exchange',
      timings.callTimeoutMs,
      (client, options) => client.exchange(request, options),
    );
    if (answer.isErr()) {
      clients.drop(target);
      return undefined;
    }
    return answer.value;
  }
}
