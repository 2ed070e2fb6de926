/** The upstream stand-in: `main.js --settings FILE`. */

import {setTimeout as sleep} from 'node:timers/promises';
import {createHistoryRecorder} from '../history/index.js';
import {listenForControl, printReady, readSettings} from '../process.js';
import {createControlServer} from './control.js';
import {UpstreamProcess} from './process.js';
import {upstreamSettingsSchema} from './settings.js';

const IDLE_CHECK_MS = 50;

const settings = readSettings(upstreamSettingsSchema);
const history = createHistoryRecorder(settings.process, settings.historyFile);
const upstream = new UpstreamProcess(settings, history);
await upstream.listen();
const control = createControlServer(upstream, history);
const address = await listenForControl(control, settings.control);
process.once('SIGTERM', () => void leave());
printReady({control: address, ...upstream.describe()});

async function leave(): Promise<void> {
  for (const worker of upstream.select(undefined)) {
    worker.faults = {...worker.faults, leaving: true};
    const {name} = worker.settings;
    history.record({kind: 'leaving-told', worker: name, way: 'signal'});
  }
  let idleMs = 0;
  while (idleMs < settings.idleBeforeExitMs) {
    const {received} = upstream;
    await sleep(IDLE_CHECK_MS);
    const isIdle = upstream.requests === 0 && upstream.received === received;
    idleMs = isIdle ? idleMs + IDLE_CHECK_MS : 0;
  }
  process.exit(0);
}
