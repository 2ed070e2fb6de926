/** QUOTA: the entry that grants the requests of a tenant is cut off from the other entries, and goes on granting beside the entry that takes its place. */

import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {IS_DISTURBED, runCase} from '../lib2/case.mjs';
import {linkEntries} from '../lib2/link.mjs';
import {QuotaSite, SURGE_FACTOR} from '../lib2/quota-site.mjs';

/** A tenant with more than the common size, of 79 that send 341 requests a second. */
const TENANT = {name: 'hotel', rate: 40, burst: 40};

/** One of six is the share of 0.17 that the site names. */
const ENTRIES = 6;

const CALM_MS = 10_000;
const SURGE_MS = 8_000;
const CUT_AFTER_MS = 2_000;
const CUT_MS = 5_500;

async function play(note) {
  const site = new QuotaSite(note, TENANT);
  let links;
  await site.start(ENTRIES, async entries => {
    links = await linkEntries(entries, site.store);
  });
  await site.send(site.usualPerSecond, CALM_MS);
  const granting = site.findGranting();
  const surge = site.send(site.usualPerSecond * SURGE_FACTOR, SURGE_MS);
  await sleep(CUT_AFTER_MS);
  if (IS_DISTURBED) {
    note(`${granting.name}, which grants, is cut off from the other entries`);
    for (const [name, link] of links) {
      link.cut(name === granting.name ? undefined : [granting.pid]);
    }
    await sleep(CUT_MS);
    links.forEach(link => link.mend());
    note('the cut is over');
  }
  await surge;
  return site.judge();
}

await runCase(fileURLToPath(new URL('.', import.meta.url)), play);
