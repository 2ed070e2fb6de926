/** The entry's own leased shares of the budget, with times that fit a short run. */

import {
  LeasedBudgetSlot,
  type EntryContainer,
  type EntryCradle,
} from '@wasabidyke/entry';
import {NumberedLease} from '@wasabidyke/store';
import {asFunction} from 'awilix';

const TIME_TO_LIVE_SECONDS = 2;
const MARGIN_MS = 200;
const STEP_MS = 500;
const SETTLE_MS = 3_000;

/** Registers leases that lapse, and counts that settle, within seconds. */
export function shortenLeases(container: EntryContainer): void {
  container.register({
    budgetSlot: asFunction((cradle: EntryCradle) => {
      const {store, clock, metrics, reporter, settings, incarnation} = cradle;
      const lease = new NumberedLease({
        store,
        clock,
        name: 'load-watch',
        holder: `${settings.name}.${incarnation}`,
        timeToLiveSeconds: TIME_TO_LIVE_SECONDS,
        marginMs: MARGIN_MS,
        stepMs: STEP_MS,
        settleMs: SETTLE_MS,
        metrics,
        reporter,
      });
      return new LeasedBudgetSlot(lease, cradle.keeper, cradle.directory);
    }).singleton(),
  });
}
