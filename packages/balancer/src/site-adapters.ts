/** What adapts a balancer to a site. */

import type {WireProtocol} from './exchange/wire-protocol.js';
import type {DiscoveryProtocol} from './serving/discovery-protocol.js';
import type {RecordDecoder} from './store/record-decoder.js';
import type {RecordStore} from './store/record-store.js';

/** Adapters to a site: its store, and the formats of its records and messages. */
export interface SiteAdapters {
  readonly store: RecordStore;
  readonly decoder: RecordDecoder;
  readonly wireProtocol: WireProtocol;
  readonly discoveryProtocol: DiscoveryProtocol;
}
