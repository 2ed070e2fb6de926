/** Dependencies of the dispatch of requests. */

import type {RandomSource} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import type {MemoryBudget} from '../exchange/memory-budget.js';
import type {WireProtocol} from '../exchange/wire-protocol.js';
import type {Placement} from '../members/placement.js';
import type {UpstreamRegistry} from '../members/upstream-registry.js';
import type {RelaySender} from '../relay/relay-sender.js';
import type {DecisionLog} from '../reporting/decision-log.js';
import type {CrashMonitor} from '../suspects/crash-monitor.js';
import type {ProcessWatch} from '../suspects/process-watch.js';
import type {RouteState} from './route-state.js';
import type {UpstreamSelector} from './upstream-selector.js';

/** Options of `RequestDispatcher`. */
export interface RequestDispatcherOptions {
  readonly selector: UpstreamSelector;
  readonly routeState: RouteState;
  readonly registry: UpstreamRegistry;
  /** The zones in which requests may be served. */
  readonly placement: Placement;
  readonly protocol: WireProtocol;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly crashMonitor: CrashMonitor;
  readonly processWatch: ProcessWatch;
  /** When this process ends, on the monotonic clock in milliseconds; infinite unless it is stopping. */
  readonly endsAtMs: () => number;
  /** Memory that the bodies of all requests share. */
  readonly bodyMemory: MemoryBudget;
  /** Sends requests through other entries. */
  readonly relay: RelaySender;
}
