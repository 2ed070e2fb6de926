/** The links of one entry to all workers, which other entries don't share. */

import {PlatformDecoder} from '@wasabidyke/platform';
import {Link, type LinkState} from '@wasabidyke/stand-ins';
import type {DecodedRecord} from '@wasabidyke/balancer';

/** Links of one entry. Without a link to a worker, the entry connects to it directly. */
export class EntryLinks {
  readonly #links = new Map<string, Link>();
  readonly #addresses = new Map<string, string>();
  /** Decodes the store's records as the entry sees them: workers are at their links. */
  readonly decoder = new LinkedDecoder(this.#addresses);

  /** Puts a link before a worker. */
  async add(target: string): Promise<void> {
    const link = new Link({
      name: target,
      listen: '127.0.0.1:0',
      target,
      mode: 'open',
      delayMs: 0,
    });
    this.#links.set(target, link);
    this.#addresses.set(target, await link.listen());
  }

  /** Changes the links to some workers, or to all. */
  change(mode: LinkState['mode'], targets = [...this.#links.keys()]): void {
    for (const target of targets) {
      this.#links.get(target)?.change({mode});
    }
  }

  /** Bytes that were carried towards the workers. */
  get carriedBytes(): number {
    const counts = [...this.#links.values()].map(link => link.counts);
    return counts.reduce((sum, {bytesForward}) => sum + bytesForward, 0);
  }

  close(): void {
    for (const link of this.#links.values()) {
      link.close();
    }
  }
}

/** Decodes records, and replaces the addresses of workers. */
class LinkedDecoder extends PlatformDecoder {
  readonly #addresses: ReadonlyMap<string, string>;

  constructor(addresses: ReadonlyMap<string, string>) {
    super();
    this.#addresses = addresses;
  }

  override decode(key: string, value: Buffer | undefined): DecodedRecord {
    const decoded = super.decode(key, value);
    if (decoded.kind !== 'upstream' || decoded.record === undefined) {
      return decoded;
    }
    const {address} = decoded.record;
    const linked = this.#addresses.get(address) ?? address;
    return {...decoded, record: {...decoded.record, address: linked}};
  }
}
