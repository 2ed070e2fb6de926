/** A stateless balancer: it relays requests to the upstreams that are announced in a store. */

export * from './balancer.js';
export * from './balancer-settings.js';
export * from './exchange/connection-pool.js';
export * from './exchange/wire-protocol.js';
export * from './feed/entry-client.js';
export * from './feed/follower-record-store.js';
export * from './feed/feed-messages.js';
export * from './feed/feed-server.js';
export * from './feed/record-history.js';
export * from './members/entry-record.js';
export * from './members/entry-roster.js';
export * from './members/upstream-record.js';
export * from './reporting/decision-log.js';
export * from './reporting/line-destination.js';
export * from './routing/routing-configuration.js';
export * from './routing/routing-table.js';
export * from './serving/discovery-protocol.js';
export * from './store/record-decoder.js';
export * from './settings-file.js';
export * from './site-adapters.js';
export * from './store/record-store.js';
export * from './store/store-watcher.js';
export * from './suspects/peer-notifier.js';
export * from './suspects/suspect-announcer.js';
