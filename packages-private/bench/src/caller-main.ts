/** One caller process: reads its settings from the file named first, prints its result. */

import {readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {SeededRandom} from '@wasabidyke/policy';
import {createArrivals} from './arrivals.js';
import {
  callerSettingsSchema,
  type CallerResult,
  type CallerSettings,
} from './caller-settings.js';
import {DirectTarget} from './direct-target.js';
import {OpenLoop, type RoundRecord} from './open-loop.js';
import {AddressTarget, type Target} from './target.js';

const settings = callerSettingsSchema.parse(
  JSON.parse(readFileSync(process.argv[2], 'utf8')),
);
const target = createTarget(settings);
const random = new SeededRandom(settings.seed);
const {arrivals, ratePerSecond} = settings;
const loop = new OpenLoop(
  createArrivals(arrivals, random, ratePerSecond),
  target,
  settings,
);
await sleep(Math.max(0, settings.startAtMs - Date.now()));
const rounds = await loop.run();
await target.close();
const result: CallerResult = {rounds: rounds.map(toCallerRound)};
process.stdout.write(`${JSON.stringify(result)}\n`);

function createTarget({target, seed, timeoutMs}: CallerSettings): Target {
  if (target.kind === 'addresses') {
    return new AddressTarget(target.addresses, target.path, timeoutMs);
  }
  const {policy, upstreams, entryCount, isHedged} = target;
  return new DirectTarget(policy, upstreams, entryCount, seed, isHedged);
}

function toCallerRound(round: RoundRecord): CallerResult['rounds'][number] {
  const {answered, refused, failed, latency, lateness} = round;
  return {
    answered,
    refused,
    failed,
    latency: latency.encode(),
    lateness: lateness.encode(),
  };
}
