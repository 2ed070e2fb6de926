/** Common interface of the ways to decide on requests while the upstreams of a service are full. */

/** What is known of a request and of the best upstream for it. */
export interface AdmissionQuery {
  readonly nowMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Estimated milliseconds until the answer, if the request is sent now. */
  readonly estimateMs: number;
  /** The same if a slot were free. */
  readonly freeSlotEstimateMs: number;
  /** Estimated number of free slots; 0 or less if the request would be queued there. */
  readonly freeSlots: number;
  /** Number of the free slots whose use slows the other requests more than it serves this one. */
  readonly slowingSlots: number;
  /** Remaining milliseconds until the target latency. */
  readonly targetRemainingMs: number;
  /** How long the request may wait for a slot in all, in milliseconds. */
  readonly maximumWaitMs: number;
  /** How long it has waited, in milliseconds. */
  readonly waitedMs: number;
}

/** Capacity of the upstreams that were considered for a request, by their load reports. */
export interface ConsideredCapacity {
  /** Number of slots of all of them. */
  readonly slots: number;
  /** Number of free slots in which the request would be answered within its target latency. */
  readonly freeSlots: number;
}

/** Properties of a request that decide what it is worth. */
export interface RequestDemand {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Estimated duration of the work on an undisturbed upstream, in milliseconds. */
  readonly workMs: number;
  /** Name of the client account; undefined without one. */
  readonly account: string | undefined;
}

/** What is known of a request, its worth and the upstreams for it. */
export interface DemandQuery extends AdmissionQuery, RequestDemand {
  readonly considered: ConsideredCapacity;
}

/** What happens to a request now. */
export type AdmissionDecision = 'send' | 'wait' | 'refuse';

/** Admission of the requests of one service at one entry. */
export abstract class ServiceAdmission {
  /** How scarce free slots were at the newest decision, from 0 to 1; undefined if this is not counted. */
  abstract get pressure(): number | undefined;

  /** Called once for each request that arrives, before the first decision on it. */
  abstract onArrival(demand: RequestDemand, nowMs: number): void;

  /** Share of the requests that arrived lately that are more urgent, from 0 to 1; 0 if this is not counted. */
  abstract moreUrgentShare(priority: number): number;

  /** Decides on a request that can be answered before its deadline. */
  abstract decide(query: DemandQuery): AdmissionDecision;

  /** Called when a request begins to wait. Returns a function to call when it no longer does. */
  abstract onWait(priority: number): () => void;

  /** Called when a request is sent. @param isRepeat Whether it was sent before. */
  abstract onSend(
    demand: RequestDemand,
    nowMs: number,
    isRepeat: boolean,
  ): void;

  /**
   * Records a refused request; returns when it should come back, in milliseconds.
   * @param slotDelayMs Expected time until a slot is free.
   * @param priority 0 is the most urgent.
   */
  abstract refuse(slotDelayMs: number, nowMs: number, priority: number): number;
}
