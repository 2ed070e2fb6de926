/** Tells other entries of suspects directly, for when the store can't. */

import type {SuspectRecord} from '@wasabidyke/policy';
import type {EntryClient} from '../feed/entry-client.js';
import type {EntryRecord} from '../members/entry-record.js';
import type {DecisionLog} from '../reporting/decision-log.js';

/** Path at which an entry takes suspects of other entries. */
export const SUSPECTS_PATH = '/v1/suspects';

/** Options of `PeerNotifier`. */
export interface PeerNotifierOptions {
  /** The other entries. */
  readonly peers: () => readonly EntryRecord[];
  readonly client: EntryClient;
  readonly log: DecisionLog;
}

/** Time for the answer of another entry, in milliseconds: several round trips between regions. */
const ANSWER_TIMEOUT_MS = 400;

/** Entries that are told at the same time: opening a hundred connections at once would hold up callers. */
const CONCURRENT_SENDS = 16;

/** Notifies the other entries over HTTP. */
export class PeerNotifier {
  readonly #options: PeerNotifierOptions;
  /** Records that were sent, so that each is sent once. */
  readonly #sent = new WeakSet<SuspectRecord>();

  constructor(options: PeerNotifierOptions) {
    this.#options = options;
  }

  /** Sends the records that were not sent yet to all other entries. Failures are logged: the store gets the records later. */
  notify(records: readonly SuspectRecord[]): void {
    const unsent = records.filter(record => !this.#sent.has(record));
    const peers = this.#options.peers();
    if (unsent.length === 0 || peers.length === 0) {
      return;
    }
    unsent.forEach(record => this.#sent.add(record));
    void this.#sendToAll(JSON.stringify(unsent), peers);
  }

  async #sendToAll(body: string, peers: readonly EntryRecord[]): Promise<void> {
    let reached = 0;
    const remaining = peers.values();
    const sendRemaining = async () => {
      for (const peer of remaining) {
        const answer = await this.#options.client.post({
          address: peer.feedAddress ?? '',
          path: SUSPECTS_PATH,
          body,
          timeoutMs: ANSWER_TIMEOUT_MS,
        });
        reached += Number(answer.kind === 'answered');
      }
    };
    await Promise.all(Array.from({length: CONCURRENT_SENDS}, sendRemaining));
    this.#options.log.record('suspects.told', {
      entries: peers.length,
      reached,
    });
  }
}
