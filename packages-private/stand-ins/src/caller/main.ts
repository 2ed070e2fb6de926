/** The caller stand-in: `main.js --settings FILE`. It starts once told so by a line on its input. */

import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {SeededRandom} from '@wasabidyke/policy';
import {Agent} from 'undici';
import {createHistoryRecorder} from '../history/index.js';
import {printReady, readSettings} from '../process.js';
import {Caller} from './caller.js';
import {EntryList} from './entry-list.js';
import {callerSettingsSchema, type PlannedRequest} from './plan.js';

const HALF = 0.5;
const CONNECT_TIMEOUT_MS = 1_000;

const settings = readSettings(callerSettingsSchema);
const dispatcher = new Agent({connect: {timeout: CONNECT_TIMEOUT_MS}});
const caller = new Caller({
  dispatcher,
  entryList: new EntryList(
    dispatcher,
    settings.entries,
    settings.keepsOldList ? 1 : HALF,
  ),
  history: createHistoryRecorder(settings.process, settings.historyFile),
  random: new SeededRandom(settings.seed),
  spreadShare: settings.spreadShare,
});
printReady({});
await once(process.stdin, 'data');
const startMs = performance.now();
await Promise.all(settings.requests.map(sendInTime));
process.exit(0);

async function sendInTime(planned: PlannedRequest): Promise<void> {
  await sleep(Math.max(0, startMs + planned.atMs - performance.now()));
  await caller.send(planned);
}
