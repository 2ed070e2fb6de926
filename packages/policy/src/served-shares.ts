/** Requests that arrived at one entry lately, and those of them that were sent, by priority. */

import {SECOND_MS} from '@wasabidyke/shared';
import type {RequestDemand} from './service-admission.js';

/** Time constant of the decay of the counts, in milliseconds: an entry that sees one request a second counts ten. */
const DECAY_MS = 10 * SECOND_MS;

/** Count below which a priority is forgotten: nothing of it has arrived for 40 s. */
const FORGOTTEN_COUNT = 0.02;

/** Decaying counts of one priority. */
interface PriorityCounts {
  arrived: number;
  /** Sum of the work of those that arrived, in milliseconds. */
  arrivedWorkMs: number;
  sent: number;
}

/** Decaying counts by priority. The memory grows with the number of priorities in use only. */
export class ServedShares {
  readonly #counts = new Map<number, PriorityCounts>();
  #decayedAtMs = 0;

  /** Called when a request arrives. */
  onArrival({priority, workMs}: RequestDemand, nowMs: number): void {
    this.#decay(nowMs);
    const counts = this.#find(priority);
    counts.arrived += 1;
    counts.arrivedWorkMs += workMs;
  }

  /** Called when a request is sent for the first time. */
  onSend({priority}: RequestDemand): void {
    this.#find(priority).sent += 1;
  }

  /** Returns the priorities that arrived lately and are more urgent. */
  countMoreUrgent(priority: number): number {
    return [...this.#counts.keys()].filter(other => other < priority).length;
  }

  /** Returns the share of the requests that arrived lately that are more urgent, from 0 to 1. */
  moreUrgentShare(priority: number): number {
    let all = 0;
    let moreUrgent = 0;
    for (const [other, {arrived}] of this.#counts) {
      all += arrived;
      moreUrgent += other < priority ? arrived : 0;
    }
    return all === 0 ? 0 : moreUrgent / all;
  }

  /** Returns the most urgent priority that arrived lately, or `priority` if that is more urgent. */
  mostUrgent(priority: number): number {
    return Math.min(priority, ...this.#counts.keys());
  }

  /** Returns the position of a priority among those that arrived lately, from above 0 to 1 for the least urgent. */
  rank(priority: number): number {
    return (
      (this.countMoreUrgent(priority) + 1) / Math.max(1, this.#counts.size)
    );
  }

  /** Returns the mean work of the requests of a priority in milliseconds; undefined if none arrived. */
  meanWorkMs(priority: number): number | undefined {
    const counts = this.#counts.get(priority);
    return counts && counts.arrivedWorkMs / counts.arrived;
  }

  /** Whether requests of a priority were sent less often than `factor` times all of them. */
  isBelowAll(priority: number, factor: number): boolean {
    let arrived = 0;
    let sent = 0;
    for (const counts of this.#counts.values()) {
      arrived += counts.arrived;
      sent += counts.sent;
    }
    return this.#share(priority) < (factor * sent) / Math.max(arrived, 1);
  }

  /** Whether requests of a priority were sent less often than those of a less urgent one, and still would be if one more had been sent. */
  isBelowLessUrgent(priority: number): boolean {
    const {sent, arrived} = this.#find(priority);
    return [...this.#counts.keys()].some(
      other => other > priority && sent + 1 < arrived * this.#share(other),
    );
  }

  #share(priority: number): number {
    const counts = this.#counts.get(priority);
    return counts === undefined ? 1 : counts.sent / Math.max(counts.arrived, 1);
  }

  #find(priority: number): PriorityCounts {
    const counts = this.#counts.get(priority) ?? {
      arrived: 0,
      arrivedWorkMs: 0,
      sent: 0,
    };
    this.#counts.set(priority, counts);
    return counts;
  }

  #decay(nowMs: number): void {
    const factor = Math.exp(-(nowMs - this.#decayedAtMs) / DECAY_MS);
    this.#decayedAtMs = nowMs;
    for (const [priority, counts] of this.#counts) {
      counts.arrived *= factor;
      counts.arrivedWorkMs *= factor;
      counts.sent *= factor;
      if (counts.arrived < FORGOTTEN_COUNT) {
        this.#counts.delete(priority);
      }
    }
  }
}
