/** Gauges of a balancer's state. */

import type {LivenessTracker} from '@wasabidyke/policy';
import {SECOND_MS, type Clock, type MetricRegistry} from '@wasabidyke/shared';
import type {ClusterState} from './cluster-state.js';
import type {FollowerRecordStore} from './feed/follower-record-store.js';
import type {Evacuations} from './members/evacuations.js';
import type {EntryRoster} from './members/entry-roster.js';
import type {UpstreamRegistry} from './members/upstream-registry.js';
import type {RouteState} from './serving/route-state.js';
import type {StoreWatcher} from './store/store-watcher.js';
import type {SuspectParts} from './suspects/suspect-parts.js';

/** The parts that the gauges are read from. */
export interface GaugeSources {
  readonly clock: Clock;
  readonly storeWatcher: StoreWatcher;
  readonly store: FollowerRecordStore;
  readonly clusterState: ClusterState;
  readonly registry: UpstreamRegistry;
  readonly entries: EntryRoster;
  readonly evacuations: Evacuations;
  readonly liveness: LivenessTracker;
  readonly suspects: SuspectParts;
  readonly routeState: RouteState;
}

/** Registers the gauges. */
export function registerGauges(
  metrics: MetricRegistry,
  sources: GaugeSources,
): void {
  const {clock, storeWatcher, store, clusterState} = sources;
  metrics.gauge(
    'wasabidyke_store_age_seconds',
    'Time since the store last answered.',
    () => storeWatcher.ageMs / SECOND_MS,
  );
  metrics.gauge(
    'wasabidyke_records_age_seconds',
    'Time since the store itself told that no record is missing, over all entries in between.',
    () => store.ageMs / SECOND_MS,
  );
  metrics.gauge(
    'wasabidyke_records_revision',
    'Store revision up to which all records were read.',
    () => store.revision,
  );
  metrics.gauge(
    'wasabidyke_reads_store',
    'Whether this entry reads the store itself (1) or follows another one (0).',
    () => Number(store.isDirect),
  );
  metrics.gauge(
    'wasabidyke_configuration_version',
    'Version of the configuration in force.',
    () => clusterState.table?.version ?? 0,
  );
  metrics.gauge(
    'wasabidyke_configuration_age_seconds',
    'Time since this entry applied the configuration in force; 0 before the first one.',
    () => {
      const appliedAtMs = clusterState.table?.appliedAtMs;
      return appliedAtMs === undefined
        ? 0
        : (clock.now() - appliedAtMs) / SECOND_MS;
    },
  );
  metrics.gauge(
    'wasabidyke_accounts',
    'Client accounts of the configuration in force.',
    () => clusterState.table?.accounts.size ?? 0,
  );
  metrics.gauge(
    'wasabidyke_upstreams',
    'Upstreams that may be used.',
    () => sources.registry.size,
  );
  metrics.gauge(
    'wasabidyke_upstreams_limited',
    'Upstreams that name a limit.',
    () => sources.registry.limitedCount,
  );
  metrics.gauge(
    'wasabidyke_upstreams_warming_up',
    'Upstreams that are in warm-up, or may be.',
    () => sources.registry.warmingUpCount,
  );
  metrics.gauge(
    'wasabidyke_upstreams_resting',
    'Upstreams that asked this entry for rest.',
    () => sources.registry.restingCount,
  );
  metrics.gauge(
    'wasabidyke_services_unreached',
    'Services whose upstreams this entry may not reach, so that it relays their requests through other entries.',
    () => sources.registry.doubtfulServices,
  );
  metrics.gauge(
    'wasabidyke_zones_evacuated',
    'Availability zones whose upstreams get no requests because they are evacuated.',
    () => sources.evacuations.size,
  );
  metrics.gauge(
    'wasabidyke_entries',
    'Entries that are announced.',
    () => sources.entries.size,
  );
  metrics.gauge(
    'wasabidyke_entries_down',
    'Entries that are announced but known to be down.',
    () => sources.liveness.downCount,
  );
  metrics.gauge(
    'wasabidyke_suspects',
    'Requests that were in flight at upstreams that crashed.',
    () => sources.suspects.guard.size,
  );
  metrics.gauge(
    'wasabidyke_sends_unsettled',
    'Sends to upstreams that were neither answered nor refused.',
    () => sources.suspects.processWatch.unsettledCount,
  );
  metrics.gauge(
    'wasabidyke_slot_pressure',
    'How scarce free slots were at the newest request, from 0 to 1: the highest of the services that admit by value.',
    () => sources.routeState.highestPressure,
  );
}
