/** A caller's request with its route, and what the caller gets when no upstream answers it. */

import type {IncomingHttpHeaders} from 'node:http';
import {toFingerprint, type ConsideredCapacity} from '@wasabidyke/policy';
import * as z from 'zod/mini';
import type {PlacementFields} from '../members/placement.js';
import type {AllowedRegions} from '../routing/allowed-regions.js';
import type {ClientAccount, Route} from '../routing/routing-configuration.js';

/** A caller's request with its complete body, its route and its service. */
export interface RoutedRequest {
  /** Identifies this send of the request in logs and answers; undefined when the caller set none. */
  readonly requestId: string | undefined;
  readonly method: string;
  /** Path and query as sent. */
  readonly url: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer | null;
  /** IP address of the caller. */
  readonly callerAddress: string;
  /** Value of `Host`. */
  readonly host: string;
  readonly route: Route;
  /** Undefined on public routes, and in deployments without client accounts. */
  readonly account: ClientAccount | undefined;
  /** Priority of the client account, or else of the route; 0 is the most urgent. */
  readonly priority: number;
  /** Regions whose upstreams may serve the request. */
  readonly allowedRegions: AllowedRegions;
  readonly service: string;
  /** Path of load queries to the upstreams of the service. */
  readonly loadPath: string;
  readonly configurationVersion: number;
  /** On the monotonic clock, in milliseconds. */
  readonly arrivedAtMs: number;
  /** Earliest of the caller's deadline and the route's timeout, on the monotonic clock in milliseconds. */
  readonly ownDeadlineMs: number;
  /** Earliest of the caller's deadline, the route's timeout and the end of this process, on the monotonic clock in milliseconds. */
  readonly deadlineMs: number;
  /** Whether the configuration in force still allows the request; asked before the first send. Undefined if another entry relays the request, which has asked. */
  readonly isStillAuthorized?: () => boolean;
  /** Set if another entry relays the request, which is then not relayed again. */
  readonly relayed?: RelayOrigin;
}

/** What the entry that relays a request did before. */
export interface RelayOrigin {
  /** Ids of upstreams that its attempts used. */
  readonly excluded: readonly string[];
}

/** Fingerprint of what a request does: callers send the same request again under another id, and to other entries. */
export function fingerprintOf(request: RoutedRequest): string {
  const {host, method, url, body} = request;
  return toFingerprint({scope: host, method, path: url, body});
}

/** Schema of `RefusalReason`. */
const refusalReasonSchema = z.enum([
  /** This entry has no configuration yet. */
  'no-configuration',
  /** The configuration that would deny the request may be outdated. */
  'unconfirmed-configuration',
  /** The configuration that is now in force, or that of the entry that a request was relayed to, doesn't allow it. */
  'other-configuration',
  /** The entry that a request was relayed to has as many as it takes. */
  'relays-full',
  /** The bodies of requests take all memory that they may. */
  'no-memory',
  /** The services among which the route is divided all have weight 0. */
  'no-weight',
  /** No upstream is usable. */
  'no-upstream',
  /** No usable upstream is in a region in which the request may be served. */
  'no-allowed-upstream',
  /** All upstreams that could be used are in availability zones that are evacuated. */
  'evacuated',
  /** What upstreams in warm-up may take is used up, and there are no others. */
  'warming-up',
  /** The quota of the client account is used up. */
  'over-quota',
  /** No entry tells what is left of the quota of the client account. */
  'quota-unknown',
  /** Neither this entry nor another one that it asked reaches an upstream. */
  'unreached',
  /** All upstreams that could be used want nothing from this entry for a while. */
  'resting',
  /** What the limits that upstreams name leave is used up. */
  'over-limit',
  /** The best upstream is estimated to answer after the deadline. */
  'no-room',
  /** The request would be queued at the best upstream, and answered after its target latency. */
  'full',
  /** The route's attempts or the repeat budget are used up. */
  'attempts-spent',
  /** The request crashed the upstreams that ran it. */
  'quarantined',
  /** This entry is shutting down. */
  'stopping',
  /** An attempt that may have run ended without a usable answer. */
  'broken',
  'timeout',
]);

/** Why a request got no upstream's answer; written to the log. */
export type RefusalReason = z.infer<typeof refusalReasonSchema>;

/** Parses a reason; undefined if it is none. */
export function toRefusalReason(text: unknown): RefusalReason | undefined {
  const parsed = refusalReasonSchema.safeParse(text);
  return parsed.success ? parsed.data : undefined;
}

/** The upstream selected last before a refusal, with its estimates at that time. */
export interface LastUpstream {
  readonly upstreamId: string;
  readonly estimateMs: number;
  readonly reportAgeMs: number;
  readonly freeSlots: number;
  /** Capacity of all upstreams that it was selected from. */
  readonly considered: ConsideredCapacity;
}

/** Answer to a caller when no upstream's answer can be given. */
export interface Refusal {
  readonly reason: RefusalReason;
  /** Whether it is certain that the request has not run and never will. */
  readonly isNotRun: boolean;
  /** Delay before the caller should retry, in milliseconds; undefined if the request may have run. */
  readonly retryAfterMs: number | undefined;
  /** Undefined if no upstream was selected. */
  readonly lastUpstream?: LastUpstream;
  /** Regions and evacuations that narrowed the choice; undefined before the request is dispatched. */
  readonly places?: PlacementFields;
  /** How scarce free slots were lately, from 0 to 1; undefined if the request was not refused by value. */
  readonly pressure?: number;
}

/** HTTP status that tells a caller of a refusal. */
export function statusOf({reason, isNotRun}: Refusal): number {
  if (isNotRun) {
    return reason === 'over-quota' ? 429 : 503;
  }
  return reason === 'timeout' ? 504 : 502;
}
