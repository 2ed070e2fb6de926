/** Carries out exchanges and pushes, and spreads on what was new. */

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

/** Parts of an exchanger. */
export interface ExchangerOptions {
  readonly ownRegion: string;
  readonly clients: PeerClients;
  readonly reconciler: Reconciler;
  readonly spreader: Spreader;
  readonly timings: PeerTimings;
}

/** Carries out exchanges and pushes, and spreads on what was new. */
export class Exchanger {
  readonly #options: ExchangerOptions;

  constructor(options: ExchangerOptions) {
    this.#options = options;
  }

  /** Exchanges with a peer; a follow-up completes it where the tables differ in rows. */
  async exchangeWith(target: PeerTarget): Promise<void> {
    const {reconciler} = this.#options;
    const response = await this.#call(target, reconciler.createRequest());
    if (response === undefined) {
      return;
    }
    const {fresh, followUp} = reconciler.receiveAnswer(response);
    this.#spreadOn(fresh, target.region);
    const last = followUp && (await this.#call(target, followUp));
    if (last !== undefined) {
      this.#spreadOn(reconciler.receiveRows(last.rows), target.region);
    }
  }

  /** Answers a peer's exchange. */
  answer(request: ExchangeRequest, fromRegion: string): ExchangeResponse {
    const {fresh, response} = this.#options.reconciler.answer(request);
    this.#spreadOn(fresh, fromRegion);
    return response;
  }

  /** Takes in pushed rows. @returns Rows that stand in the table now. */
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

  /** Rows that came from another region are spread in this one; within a region, anti-entropy does. */
  #spreadOn(fresh: readonly Row[], fromRegion: string): void {
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
