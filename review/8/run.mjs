/** QUOTA: the entry that grants the requests of a tenant stands still for two seconds while that tenant begins to send more than its quota. */

import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {IS_DISTURBED, runCase} from '../lib2/case.mjs';
import {QuotaSite, SURGE_FACTOR} from '../lib2/quota-site.mjs';

/** One of ten is the share of 0.1 that the bench names. */
const ENTRIES = 10;

const CALM_MS = 10_000;
const SURGE_MS = 8_000;
const FREEZE_AFTER_MS = 500;
const FREEZE_MS = 2_000;

async function play(note) {
  const site = new QuotaSite(note);
  await site.start(ENTRIES);
  await site.send(site.usualPerSecond, CALM_MS);
  const granting = site.findGranting();
  const surge = site.send(site.usualPerSecond * SURGE_FACTOR, SURGE_MS);
  await sleep(FREEZE_AFTER_MS);
  if (IS_DISTURBED) {
    note(`${granting.name}, which grants, stands still for ${FREEZE_MS} ms`);
    granting.signal('SIGSTOP');
    await sleep(FREEZE_MS);
    granting.signal('SIGCONT');
    note(`${granting.name} runs again`);
  }
  await surge;
  return site.judge();
}

await runCase(fileURLToPath(new URL('.', import.meta.url)), play);
