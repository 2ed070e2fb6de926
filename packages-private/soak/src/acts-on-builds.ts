/** Acts of upgrades and of configurations that come in quick succession. */

import {setTimeout as sleep} from 'node:timers/promises';
import type {Site} from './acts.js';
import {STOP_WITHIN_MS, type EntryProcess} from './entry-process.js';
import {nowMs} from './history.js';
import type {Step} from './schedule.js';

/** Time between the configurations of a burst, in milliseconds. */
const BURST_GAP_MS = 80;

/** Time between the replacements of two entries, in milliseconds. */
const REPLACE_GAP_MS = 300;

const READS_STORE = /^wasabidyke_reads_store 1$/m;

/** Writes one configuration after the other until the time is over. */
export async function changeOften(
  {operator}: Site,
  {forMs}: Step,
): Promise<void> {
  const endMs = nowMs() + forMs;
  while (nowMs() < endMs) {
    operator.moveRoute();
    await sleep(BURST_GAP_MS);
  }
}

/** Stops the entries that run an older build one by one, and starts them with this one. */
export async function replaceOlder(site: Site): Promise<void> {
  for (const entry of site.entries) {
    if (entry.program !== site.program) {
      note(site, entry, 'entry-stop', STOP_WITHIN_MS);
      entry.program = site.program;
      await entry.stop();
      await sleep(REPLACE_GAP_MS);
    }
  }
}

/** Kills or pauses an entry that reads the store itself; others follow it. */
export async function actOnReader(
  site: Site,
  {act, forMs}: Step,
): Promise<void> {
  const reader = await findReader(site.entries);
  if (reader === undefined) {
    return;
  }
  if (act === 'reader-kill') {
    note(site, reader, 'entry-kill', 0);
    reader.signal('SIGKILL');
    return;
  }
  note(site, reader, 'entry-pause', forMs);
  await reader.pause(forMs);
}

async function findReader(
  entries: readonly EntryProcess[],
): Promise<EntryProcess | undefined> {
  for (const entry of entries) {
    try {
      const url = `http://127.0.0.1:${entry.metricsPort}/metrics`;
      const answer = await fetch(url, {signal: AbortSignal.timeout(500)});
      if (READS_STORE.test(await answer.text())) {
        return entry;
      }
    } catch {
      // It is paused or starts again; another one may read the store.
    }
  }
  return undefined;
}

function note(
  {history}: Site,
  {address}: EntryProcess,
  what: Step['act'],
  forMs: number,
): void {
  const fromMs = nowMs();
  history.disturbances.push({
    subject: address,
    what,
    fromMs,
    toMs: fromMs + forMs,
    isPlanned: what === 'entry-stop',
  });
}
