/** Steps for requests that end their upstreams, at an entry with a manifest of its own. */

import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {
  AnswerSink,
  createEntryContainer,
  type DispatchJob,
  type EntryCradle,
} from '@wasabidyke/entry';
import {parseManifest, Snapshot, type Service} from '@wasabidyke/manifest';
import {parseSettings} from '@wasabidyke/operator';
import {eventually} from '../support/eventually.js';
import {ScriptedWorker, type WorkerScript} from '../support/scripted-worker.js';
import {
  habitOf,
  type CallerHabit,
  type WorkerEnding,
} from '../support/worker-ending.js';

/** Pause between sends, and the time that a caller lets a look-up take, in milliseconds. */
const PAUSE_MS = 250;
const DEADLINE_MS = 2_000;

/** Time in which upstreams that were crashed are back, in milliseconds. */
const RESTART_MS = 600;

const SERVICE = 'shop';

const SETTINGS = {
  name: 'entry-1',
  vm: 'vm-1',
  region: 'north',
  zone: 'north-a',
  // Nothing listens: the requests are given to its dispatcher.
  callers: {address: '127.0.0.1:8080'},
  operators: {address: '127.0.0.1:8082'},
  platform: {kind: 'embedded', manifestFile: 'manifest.jsonc'},
};

/** Drops the answer. */
class DroppingSink extends AnswerSink {
  override readonly isCommitted = false;
  override onHead(): void {}
  override onData(): void {}
  override onEnd(): void {}
  override onBroken(): void {}
}

interface EndedUpstreamsWorld {
  entryParts: EntryCradle;
  service: Service;
  scriptedUpstreams: ScriptedWorker[];
  callerHabit: CallerHabit;
  ends: number;
}

Given(
  /^an entry with a manifest of its own and (\d+) upstreams?$/,
  async function (this: EndedUpstreamsWorld, count: string) {
    this.scriptedUpstreams = Array.from(
      {length: Number(count)},
      (_, index) => new ScriptedWorker(`shop-${index + 1}`),
    );
    this.callerHabit = {};
    this.ends = 0;
    for (const upstream of this.scriptedUpstreams) {
      await upstream.listen();
      upstream.onRestart = () => (this.ends += 1);
    }
    const settings = parseSettings('settings', JSON.stringify(SETTINGS));
    this.entryParts = createEntryContainer(settings.unwrap(), undefined).cradle;
    const manifest = parseManifest(
      'manifest',
      JSON.stringify(toManifest(this.scriptedUpstreams)),
    );
    const snapshot = new Snapshot(1, manifest.unwrap());
    this.entryParts.registry.apply(snapshot);
    [this.service] = snapshot.manifest.services;
  },
);

Given(
  'upstreams that end {string}',
  function (this: EndedUpstreamsWorld, ending: WorkerEnding) {
    this.scriptedUpstreams.forEach(upstream => (upstream.ending = ending));
    this.callerHabit = habitOf(ending);
  },
);

Given(
  'every upstream {string}',
  function (this: EndedUpstreamsWorld, script: WorkerScript) {
    this.scriptedUpstreams.forEach(upstream => (upstream.script = script));
  },
);

Given(
  'callers that leave after {int} ms',
  function (this: EndedUpstreamsWorld, leavesAfterMs: number) {
    this.callerHabit = {leavesAfterMs};
  },
);

When(
  'a look-up that ends them is sent {int} times',
  function (this: EndedUpstreamsWorld, count: number) {
    return sendOften(this, '/shop/crash', count, PAUSE_MS);
  },
);

When(
  'a look-up that ends them is sent {int} times, {int} ms apart',
  function (this: EndedUpstreamsWorld, count: number, pauseMs: number) {
    return sendOften(this, '/shop/crash', count, pauseMs);
  },
);

When(
  'a look-up is sent {int} times',
  function (this: EndedUpstreamsWorld, count: number) {
    return sendOften(this, '/shop/item', count, PAUSE_MS);
  },
);

Then(
  'at most {int} upstreams have ended',
  async function (this: EndedUpstreamsWorld, most: number) {
    await sleep(RESTART_MS);
    assert.ok(this.ends > 0, 'none has ended');
    assert.ok(this.ends <= most, `${this.ends} have ended`);
  },
);

Then('another look-up is answered', async function (this: EndedUpstreamsWorld) {
  assert.equal(await send(this, '/shop/other', {}), 'answered');
});

// Upstreams that failed are used again after a back-off.
Then(
  'that look-up is soon answered',
  async function (this: EndedUpstreamsWorld) {
    await eventually('it is answered', async () => {
      return (await send(this, '/shop/item', {})) === 'answered';
    });
  },
);

After(async function (this: Partial<EndedUpstreamsWorld>) {
  this.scriptedUpstreams?.forEach(upstream => upstream.close());
  await this.entryParts?.registry.close();
});

async function sendOften(
  world: EndedUpstreamsWorld,
  path: string,
  count: number,
  pauseMs: number,
): Promise<void> {
  for (let sent = 0; sent < count; sent++) {
    await send(world, path, world.callerHabit);
    await sleep(pauseMs);
  }
}

/** Sends a look-up; returns what became of it. */
async function send(
  {entryParts, service}: EndedUpstreamsWorld,
  path: string,
  {deadlineMs = DEADLINE_MS, leavesAfterMs}: CallerHabit,
): Promise<string> {
  const {dispatcher, clock} = entryParts;
  const job: DispatchJob = {
    service,
    rule: service.requests[0],
    request: {method: 'GET', path, headers: {host: 'shop'}, body: null},
    sink: new DroppingSink(),
    deadlineMs: clock.now() + deadlineMs,
    depth: 0,
  };
  const dispatch = dispatcher.dispatch(job);
  const timer =
    leavesAfterMs === undefined
      ? undefined
      : setTimeout(() => dispatch.cancel(), leavesAfterMs);
  const result = await dispatcher.run(dispatch);
  clearTimeout(timer);
  return result.kind === 'problem' ? result.problem.reason : result.kind;
}

function toManifest(upstreams: readonly ScriptedWorker[]): object {
  return {
    name: 'site',
    regions: [{name: 'north', zones: ['north-a']}],
    entries: {maximum: 1},
    loadWatch: {
      preference: 'tail-first',
      requestsPerSecond: 20,
      bytesPerSecond: 40_000,
      crossRegionBytesPerSecond: 0,
    },
    services: [
      {
        name: SERVICE,
        requests: [
          {
            name: 'look',
            methods: ['GET'],
            kind: 'idempotent',
            timeoutMs: 5_000,
            retries: 2,
          },
        ],
        upstreams: upstreams.map(({id, address}) => ({
          name: id,
          address,
          region: 'north',
          zone: 'north-a',
          vm: `vm-${id}`,
          slots: 4,
          connections: 200,
        })),
      },
    ],
  };
}
