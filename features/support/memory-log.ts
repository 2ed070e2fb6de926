/** Logs kept in memory. */

import {DecisionLog, type LogFields} from '@wasabidyke/balancer';

/** A line that was logged. */
export interface LoggedEvent extends LogFields {
  readonly event: string;
}

/** Keeps what is logged. */
export class MemoryLog extends DecisionLog {
  readonly events: LoggedEvent[] = [];

  override record(event: string, fields: LogFields): void {
    this.events.push({event, ...fields});
  }

  override flush(): void {}
}

/** Adds the name of an entry to each line. */
export class EntryLog extends DecisionLog {
  readonly #entry: string;
  readonly #log: MemoryLog;

  constructor(entry: string, log: MemoryLog) {
    super();
    this.#entry = entry;
    this.#log = log;
  }

  override record(event: string, fields: LogFields): void {
    this.#log.record(event, {entry: this.#entry, ...fields});
  }

  override flush(): void {}
}
