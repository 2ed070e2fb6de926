/** Starts of upstreams that were removed, by which a restart under the same id is told. */

import type {UpstreamRecord} from './upstream-record.js';

/** Maximum number of starts that are remembered: more than a deployment has upstreams. */
const MAXIMUM_STARTS = 2_048;

/** Remembers the last start of each upstream that was removed. */
export class FormerStarts {
  readonly #startsById = new Map<string, number | undefined>();

  /** Called when an upstream is removed. */
  remember({id, startedAtEpochMs}: UpstreamRecord): void {
    this.#startsById.delete(id);
    this.#startsById.set(id, startedAtEpochMs);
    if (this.#startsById.size > MAXIMUM_STARTS) {
      const [oldest] = this.#startsById.keys();
      this.#startsById.delete(oldest);
    }
  }

  /** Whether an upstream was removed under the same id with another start. */
  isRestart({id, startedAtEpochMs}: UpstreamRecord): boolean {
    return (
      this.#startsById.has(id) && this.#startsById.get(id) !== startedAtEpochMs
    );
  }
}
