/** The life cycle of the entry process. */

import {Chart, LifeCycle, type Reporter} from '@wasabidyke/shared';

/** States of an entry process. */
export type EntryState =
  'starting' | 'joining' | 'serving' | 'draining' | 'stopped';

/** Events that change the state of an entry process. */
export type EntryTrigger = 'LISTEN' | 'MANIFEST' | 'STOP' | 'DRAINED';

const ENTRY_CHART = Chart.load<EntryState, EntryTrigger>(
  new URL('../../charts/entry.chart.json', import.meta.url),
);

/** Read-only access to the state of this entry. */
export abstract class EntryStateReader {
  abstract get state(): EntryState;
}

/** The life cycle of this entry; reports each state change. */
export class EntryLifeCycle extends EntryStateReader {
  readonly #lifeCycle: LifeCycle<EntryState, EntryTrigger>;
  readonly #listeners: Array<(state: EntryState) => void> = [];

  constructor(entry: string, reporter: Reporter) {
    super();
    this.#lifeCycle = new LifeCycle(ENTRY_CHART, (from, to) => {
      reporter.report({
        level: 'info',
        code: `entry.${to}`,
        subject: entry,
        message: `Changed from ${from} to ${to}.`,
      });
      for (const listener of this.#listeners) {
        listener(to);
      }
    });
  }

  override get state(): EntryState {
    return this.#lifeCycle.state;
  }

  /** Calls `listener` after each change. */
  onStateChange(listener: (state: EntryState) => void): void {
    this.#listeners.push(listener);
  }

  /** Applies an event. Returns false if it has no effect in the current state. */
  trigger(trigger: EntryTrigger): boolean {
    return this.#lifeCycle.trigger(trigger);
  }
}
