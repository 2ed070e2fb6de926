/** Acts in which the store comes back from an older copy, or its connections fall silent. */

import {setTimeout as sleep} from 'node:timers/promises';
import type {Site} from './acts.js';
import {nowMs} from './history.js';
import type {Step} from './schedule.js';

/** Time for which the store is away, in milliseconds. */
const AWAY_MS = 500;

/** Has the connections fall silent on which watches wait. */
export function silenceWatches({entries, store, history}: Site): void {
  const fromMs = nowMs();
  store.silenceWatches();
  for (const {address} of entries) {
    history.disturbances.push({
      subject: address,
      what: 'watches-silent',
      fromMs,
      toMs: fromMs,
      isPlanned: false,
    });
  }
}

/** Takes a copy, lets changes come, and has the store come back from it; what operators and workers wrote is written again. */
export async function drillStore(site: Site, {forMs}: Step): Promise<void> {
  const {store, history, operator, entries, program} = site;
  if (entries.some(entry => entry.program !== program)) {
    // Older builds know nothing of eras.
    return;
  }
  const copy = store.copy();
  operator.moveRoute();
  await sleep(Math.max(0, forMs - AWAY_MS));
  const fromMs = nowMs();
  store.leave();
  await sleep(AWAY_MS);
  store.comeBackFrom(copy);
  const what = 'store-drill';
  const disturbance = {subject: 'store', what, fromMs, isPlanned: false};
  history.disturbances.push({...disturbance, toMs: nowMs()});
  operator.moveRoute();
  await store.rewrite(copy);
}
