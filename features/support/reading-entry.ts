/** The parts of an entry that read the platform's store, and feed others with what they read. */

import {
  FeedServer,
  FollowerRecordStore,
  StoreWatcher,
} from '@wasabidyke/balancer';
import {PlatformStore} from '@wasabidyke/platform';
import {SeededRandom} from '@wasabidyke/policy';
import {SystemClock} from '@wasabidyke/shared';
import {findFreePorts} from '@wasabidyke/stand-ins';
import {MemoryLog} from './memory-log.js';
import {Believer} from './believer.js';

const SEED = 5;

/** An entry that follows others, or reads the store while there are none. */
export class ReadingEntry {
  readonly believer: Believer;
  readonly records: FollowerRecordStore;
  readonly log = new MemoryLog();
  /** Addresses of the entries that it may follow. */
  feedAddresses: readonly string[] = [];
  /** Age of its records that it tells its followers; that of the store's confirmation unless set. */
  toldAgeMs: number | undefined;
  readonly #watcher: StoreWatcher;
  readonly #feed: FeedServer;

  constructor(storeAddress: string, key: string) {
    this.believer = new Believer(key);
    const clock = new SystemClock();
    this.records = new FollowerRecordStore({
      store: new PlatformStore(storeAddress),
      feeders: () =>
        this.feedAddresses.map(feedAddress => ({
          name: `entry at ${feedAddress}`,
          address: feedAddress,
          feedAddress,
          region: 'home',
          zone: 'home-a',
        })),
      onDepartures: () => {},
      isFeeding: () => this.#feed.isFeeding,
      isNoEntryAnnounced: () => false,
      clock,
      random: new SeededRandom(SEED),
      log: this.log,
    });
    const {believer: listener, records: store} = this;
    this.#watcher = new StoreWatcher({store, listener, clock});
    this.#feed = new FeedServer({
      history: listener.history,
      ageMs: () => this.toldAgeMs ?? store.ageMs,
      onSuspect: () => {},
      onFault: error => {
        throw error;
      },
    });
  }

  /** Starts to read, and to feed others. Returns the address at which it does. */
  async start(): Promise<string> {
    const [port] = await findFreePorts(1);
    await this.#feed.listen({host: '127.0.0.1', port});
    this.#watcher.start();
    return `127.0.0.1:${port}`;
  }

  /** Reads nothing any more, and feeds on. */
  stopReading(): void {
    this.#watcher.stop();
  }

  async close(): Promise<void> {
    this.#watcher.stop();
    this.#feed.close();
    await this.records.close();
  }
}
