/** The periodic part of the talk: heartbeats, exchanges, and the first exchanges of a start. */

import type {PeerTaskOptions} from './peer-options.js';
import type {PeerParts} from './peer-parts.js';

/** Seeds that a starting entry exchanges with at once. */
const FIRST_SEEDS = 3;

/** A period varies by up to this part, so that entries do not move in step. */
const JITTER_SHARE = 0.2;

const JITTER_STEPS = 1_000;

/** The periodic part of the talk. */
export class Rounds {
  readonly #options: PeerTaskOptions;
  readonly #parts: PeerParts;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: PeerTaskOptions, parts: PeerParts) {
    this.#options = options;
    this.#parts = parts;
  }

  /** Calls `onPeriod` once a period until stopped. */
  start(onPeriod: () => void): void {
    const {periodMs} = this.#parts.timings;
    const step = this.#options.random.nextBelow(JITTER_STEPS) / JITTER_STEPS;
    const factor = 1 + JITTER_SHARE * (step - 0.5);
    this.#timer = setTimeout(() => {
      this.start(onPeriod);
      onPeriod();
    }, periodMs * factor);
  }

  /** Ends the calls. */
  stop(): void {
    clearTimeout(this.#timer);
  }

  /** Exchanges with some seeds at once, then tells the system of this entry. */
  async join(): Promise<void> {
    const {exchanger, replica, selection, spreader} = this.#parts;
    const {peerAddress, region} = replica.self;
    const seeds = this.#options.seeds();
    const others = seeds.filter(({address}) => address !== peerAddress);
    const near = others.filter(seed => seed.region === region);
    const far = others.filter(seed => seed.region !== region);
    const targets = [
      ...selection.sample(near, FIRST_SEEDS),
      ...selection.sample(far, near.length === 0 ? FIRST_SEEDS : 1),
    ];
    await Promise.all(targets.map(target => exchanger.exchangeWith(target)));
    spreader.spread([replica.updateSelf({})], 'system', region);
  }

  /** One period has passed. */
  run(): void {
    const {clients, exchanger, meter, replica, selection} = this.#parts;
    replica.onPeriod();
    clients.closeIdle(this.#options.clock.now());
    meter.read();
    for (const target of [selection.nextInRegion(), selection.nextAcross()]) {
      if (target !== undefined) {
        void exchanger.exchangeWith(target);
      }
    }
  }
}
