/** Periodic gossip with peers: heartbeats, exchanges, and the first exchanges after a start. */

import type {PeerTaskOptions} from './peer-options.js';
import type {PeerParts} from './peer-parts.js';

/** Maximum number of seeds of a region that a starting entry exchanges with. */
const INITIAL_SEEDS = 3;

/** Width of the random variation of a period, as a fraction of it, so that entries do not run in lockstep. */
const JITTER_WIDTH = 0.2;

const JITTER_STEPS = 1_000;

/** Runs the periodic gossip with peers. */
export class GossipRounds {
  readonly #options: PeerTaskOptions;
  readonly #parts: PeerParts;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: PeerTaskOptions, parts: PeerParts) {
    this.#options = options;
    this.#parts = parts;
  }

  /** Calls `onTick` once per period until `stop` is called. */
  start(onTick: () => void): void {
    const {periodMs} = this.#parts.timings;
    const step = this.#options.random.nextBelow(JITTER_STEPS) / JITTER_STEPS;
    const factor = 1 + JITTER_WIDTH * (step - 0.5);
    this.#timer = setTimeout(() => {
      this.start(onTick);
      onTick();
    }, periodMs * factor);
  }

  /** Stops the periodic calls. */
  stop(): void {
    clearTimeout(this.#timer);
  }

  /** Exchanges with some seeds at once, then pushes this entry's row to all regions. */
  async join(): Promise<void> {
    const {exchanger, replica, selection, spreader} = this.#parts;
    const {peerAddress, region} = replica.self;
    const seeds = this.#options.seeds();
    const others = seeds.filter(({address}) => address !== peerAddress);
    const sameRegionSeeds = others.filter(seed => seed.region === region);
    const otherRegionSeeds = others.filter(seed => seed.region !== region);
    const targets = [
      ...selection.sample(sameRegionSeeds, INITIAL_SEEDS),
      ...selection.sample(
        otherRegionSeeds,
        sameRegionSeeds.length === 0 ? INITIAL_SEEDS : 1,
      ),
    ];
    await Promise.all(targets.map(target => exchanger.exchangeWith(target)));
    spreader.spread([replica.updateSelf({})], 'system', region);
  }

  /** Runs one round: updates the replica, closes idle connections and exchanges with one peer in this region and one in another. */
  run(): void {
    const {clients, exchanger, meter, replica, selection} = this.#parts;
    replica.onTick();
    clients.closeIdle(this.#options.clock.now());
    meter.updateCounters();
    for (const target of [
      selection.nextInRegion(),
      selection.nextInOtherRegion(),
    ]) {
      if (target !== undefined) {
        void exchanger.exchangeWith(target);
      }
    }
  }
}
