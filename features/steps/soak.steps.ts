/** Steps for the fault soak and its checks. */

import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {once} from 'node:events';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {
  drawSchedule,
  findViolations,
  History,
  toAnswer,
  type ArrivalRecord,
  type CallRecord,
  type Schedule,
} from '@wasabidyke/soak';
import {Link} from '@wasabidyke/stand-ins';
import {eventually} from '../support/eventually.js';
import {toConfigurationRecord} from '../support/soak-configuration.js';

/** Length of a made-up history, and time between its requests, in milliseconds. */
const LENGTH_MS = 30_000;
const GAP_MS = 100;
const CALM_FROM_MS = 25_000;

/** Longer than any bound and the time in which a disturbance excuses. */
const LONG_MS = 9_000;
const ENTRY = '127.0.0.1:1';
const SOAK_TIMEOUT_MS = 90_000;

interface SoakWorld {
  schedules: readonly Schedule[];
  history: History;
  link: Link;
  received: string;
  sockets: Array<{destroy(): void; close?(): void}>;
  output: string;
}

When(
  'the schedule of seed {int} is drawn twice for {int} ms',
  function (this: SoakWorld, seed: number, lengthMs: number) {
    this.schedules = [1, 2].map(() => drawSchedule(seed, lengthMs));
  },
);

Then('both are the same', function (this: SoakWorld) {
  const [first, second] = this.schedules;
  assert.ok(first.steps.length > 0);
  assert.deepEqual(first, second);
});

Then(
  'no act lasts into the last {int} ms',
  function (this: SoakWorld, calmMs: number) {
    const [{steps, lengthMs}] = this.schedules;
    for (const {atMs, forMs} of steps) {
      assert.ok(atMs + forMs <= lengthMs - calmMs);
    }
  },
);

Given('a history of requests that were served', function (this: SoakWorld) {
  this.history = new History();
  this.history.calmFromMs = CALM_FROM_MS;
  this.history.starts.push({entry: ENTRY, atMs: -LONG_MS});
  this.history.configurations.push(toConfigurationRecord(1, 'reads', 0));
  for (let atMs = 0; atMs < LENGTH_MS; atMs += GAP_MS) {
    addServed(this.history, {id: `served-${atMs}`, sentAtMs: atMs});
  }
});

/** What can be put into a history, by its name in the feature. */
const DEFECTS: Readonly<Record<string, (history: History) => void>> = {
  'an order ran at two workers': history => {
    const {arrival} = addServed(history, {kind: 'unsafe', path: '/write/1'});
    history.arrivals.push({...arrival, worker: 'w2'});
  },
  'an order was refused as not run and has run': history => {
    const {call} = addServed(history, {kind: 'unsafe', path: '/write/1'});
    call.status = 503;
  },
  'a look-up got half of its answer': history => {
    const {call} = addServed(history, {});
    call.body = call.body?.slice(0, 10);
  },
  'a worker ran a request that nobody sent': history => {
    const {arrival} = addServed(history, {});
    history.arrivals.push({...arrival, id: 'unknown'});
  },
  'a look-up ran at a service without a route to it': history => {
    addServed(history, {}, {service: 'writes'});
  },
  'a request reached a worker long after it left': history => {
    history.leavings.push({worker: 'w3', atMs: LONG_MS});
    addServed(history, {sentAtMs: 2 * LONG_MS}, {worker: 'w3'});
  },
  'a request ran by a configuration that was replaced': history => {
    // Another entry than that of the check for steps back: each is at version 1.
    history.configurations.push(toConfigurationRecord(2, 'writes', LONG_MS));
    addServed(history, {path: '/moving/1', sentAtMs: 2 * LONG_MS});
  },
  'an entry went back to an older configuration': history => {
    history.configurations.push(toConfigurationRecord(2, 'writes', LONG_MS));
    const moving = {path: '/moving/1', sentAtMs: LONG_MS + GAP_MS};
    addServed(history, moving, {service: 'writes'});
    addServed(history, {path: '/moving/2', sentAtMs: LONG_MS + 10 * GAP_MS});
  },
  'a hundred look-ups were sent twice': history => {
    for (let count = 0; count < 100; count++) {
      const {arrival} = addServed(history, {id: `twice-${count}`});
      history.arrivals.push({...arrival});
    }
  },
  'a request crashed workers on and on': history => {
    for (let count = 0; count < 12; count++) {
      const sentAtMs = LONG_MS + 1_000 * count;
      const call = {
        path: '/read/crashing',
        sentAtMs,
        isCrashing: true,
      } as const;
      addServed(history, call, {endedAtMs: sentAtMs}).call.status = 502;
    }
  },
  'a look-up was refused for ten minutes': history => {
    const {call} = addServed(history, {});
    call.status = 503;
    call.retryAfterSeconds = 600;
  },
  'a request crashed workers, and three more much later': history => {
    for (const sentAtMs of [0, 1, 2, 9_000, 9_001, 9_002]) {
      const call = {
        path: '/read/crashing',
        sentAtMs,
        isCrashing: true,
      } as const;
      addServed(history, call, {endedAtMs: sentAtMs}).call.status = 502;
    }
  },
  'requests reached workers long after their callers left': history => {
    for (let count = 0; count < 10; count++) {
      const {call} = addServed(
        history,
        {id: `left-${count}`},
        {atMs: LONG_MS + 2_000},
      );
      call.status = undefined;
      call.leftAtMs = LONG_MS;
    }
  },
  'a planned stop cut off a request': history => {
    addDisturbance(history, ENTRY, 'entry-stop', true);
    const {call} = addServed(history, {});
    call.status = undefined;
  },
  'a list named an entry that had stood still for long': history => {
    const entry = '127.0.0.1:2';
    history.absences.push({entry, fromMs: 0, toMs: 2 * LONG_MS});
    history.lists.push({entry: ENTRY, addresses: [entry], atMs: LONG_MS});
  },
  'a worker got far more than the limit that it named': history => {
    const worker = 'w9';
    const limit = {worker, requestsPerSecond: 1, fromMs: 0, toMs: Infinity};
    history.limits.push(limit);
    const told = {id: 'told', sentAtMs: 0};
    addServed(history, told, {worker}).call.worker = worker;
    for (let count = 0; count < 12; count++) {
      const sentAtMs = LONG_MS + count * GAP_MS;
      addServed(history, {id: `limited-${count}`, sentAtMs}, {worker});
    }
  },
  'an entry that was cut off served nobody': history => {
    const entry = '127.0.0.1:2';
    const toMs = 2 * LONG_MS;
    history.cuts.push({entry, isPartial: false, fromMs: LONG_MS, toMs});
    for (let atMs = LONG_MS; atMs < toMs - GAP_MS; atMs += GAP_MS) {
      const {call} = addServed(history, {id: `cut-${atMs}`, sentAtMs: atMs});
      Object.assign(call, {entry, status: 502});
    }
  },
  'a worker that asked for rest got requests': history => {
    const rest = {worker: 'w8', entry: ENTRY, fromMs: LONG_MS, restMs: 2_000};
    history.rests.push(rest);
    for (let count = 0; count < 3; count++) {
      const sentAtMs = LONG_MS + 1_000 + count;
      addServed(history, {sentAtMs}, {worker: rest.worker, sender: ENTRY});
    }
  },
  'a worker that said it leaves got requests': history => {
    const left = {worker: 'w7', entry: ENTRY, atMs: LONG_MS};
    history.leavingAnswers.push(left);
    const sentAtMs = LONG_MS + 3_000;
    addServed(history, {sentAtMs}, {worker: left.worker, sender: ENTRY});
  },
  'an order that a stopping entry took was broken off': history => {
    const order = {path: '/long/1', kind: 'unsafe', isLong: true} as const;
    const {call} = addServed(history, order, {service: 'writes'});
    call.status = 504;
  },
  'a worker of an evacuated zone got a request': history => {
    const evacuation = {zone: 'z', fromMs: LONG_MS, toMs: 2 * LONG_MS};
    history.evacuations.push(evacuation);
    history.zones.set('w6', 'z');
    addServed(history, {sentAtMs: LONG_MS + 6_000}, {worker: 'w6'});
  },
  'nothing was served after the last fault': history => {
    for (const call of history.calls) {
      call.status = call.sentAtMs > CALM_FROM_MS ? 502 : call.status;
    }
  },
  'an entry ended by itself': history => {
    history.exits.push({entry: ENTRY, status: 1});
  },
};

Given(
  new RegExp(`^in it (${Object.keys(DEFECTS).join('|')})$`),
  function (this: SoakWorld, what: string) {
    DEFECTS[what](this.history);
  },
);

Given(
  'its entry was cut off from the store meanwhile',
  function (this: SoakWorld) {
    addDisturbance(this.history, ENTRY, 'entry-store-cut', false);
  },
);

Given('its entry was paused meanwhile', function (this: SoakWorld) {
  addDisturbance(this.history, ENTRY, 'entry-pause', false);
});

Then('no check finds anything', function (this: SoakWorld) {
  assert.deepEqual(findViolations(this.history), []);
});

Then(
  'the check {string} finds something, and no other does',
  function (this: SoakWorld, name: string) {
    const found = findViolations(this.history).map(({check}) => check);
    assert.deepEqual([...new Set(found)], [name]);
  },
);

Given(
  'a link that delays by {int} ms',
  async function (this: SoakWorld, delayMs: number) {
    this.received = '';
    const server = createServer(socket => {
      this.sockets.push(socket);
      socket.on('data', chunk => (this.received += chunk.toString()));
      // A link passes resets on.
      socket.on('error', () => socket.destroy());
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    this.sockets = [{destroy: () => server.close()}];
    this.link = new Link({
      name: 'delayed',
      listen: '127.0.0.1:0',
      target: `127.0.0.1:${port}`,
      mode: 'open',
      delayMs,
    });
  },
);

When(
  'a message is sent, the delay falls to {int} ms, and another message is sent',
  async function (this: SoakWorld, delayMs: number) {
    const [host, port] = (await this.link.listen()).split(':');
    const socket: Socket = connect(Number(port), host);
    this.sockets.push(socket);
    await once(socket, 'connect');
    socket.write('first,');
    await new Promise(resolve => setTimeout(resolve, GAP_MS));
    this.link.change({delayMs});
    socket.write('second');
  },
);

When(
  /^a message is sent while the link is "silent", its sender (ends|resets) the connection, and the link is open again$/,
  async function (this: SoakWorld, how: string) {
    const [host, port] = (await this.link.listen()).split(':');
    const socket: Socket = connect(Number(port), host);
    this.sockets.push(socket);
    await once(socket, 'connect');
    await new Promise(resolve => setTimeout(resolve, GAP_MS));
    this.link.change({mode: 'silent'});
    socket.write('message');
    await new Promise(resolve => setTimeout(resolve, GAP_MS));
    if (how === 'ends') {
      socket.end();
    } else {
      socket.resetAndDestroy();
    }
    await new Promise(resolve => setTimeout(resolve, GAP_MS));
    assert.equal(this.received, '');
    this.link.change({mode: 'open'});
    await new Promise(resolve => setTimeout(resolve, GAP_MS));
  },
);

Then(
  /^the message (arrives|doesn't arrive)$/,
  function (this: SoakWorld, expected: string) {
    assert.equal(this.received, expected === 'arrives' ? 'message' : '');
  },
);

Then('both arrive in that order', async function (this: SoakWorld) {
  const isWhole = () => this.received.length === 'first,second'.length;
  await eventually('both arrive', isWhole);
  assert.equal(this.received, 'first,second');
});

After(function (this: Partial<SoakWorld>) {
  for (const socket of this.sockets ?? []) {
    socket.destroy();
  }
});

When(
  'the soak runs seed {int} for {int} s with {int} entries',
  {timeout: SOAK_TIMEOUT_MS},
  function (this: SoakWorld, seed: number, seconds: number, entries: number) {
    const bundled = spawnSync(process.execPath, ['scripts/bundle.mjs']);
    assert.equal(bundled.status, 0, bundled.stderr.toString());
    const size = {seed, seconds, entries, workers: 6, callers: 8};
    const words = Object.entries(size).flatMap(([name, value]) => [
      `--${name}`,
      String(value),
    ]);
    const program = 'packages-private/soak/dist/main.js';
    const run = spawnSync(process.execPath, [program, ...words]);
    this.output = run.stdout.toString() + run.stderr.toString();
  },
);

Then('it reports no violations', function (this: SoakWorld) {
  assert.match(this.output, /^violations: 0$/m, this.output);
});

/** Adds a request that one worker ran and answered. */
function addServed(
  history: History,
  callChanges: Partial<CallRecord>,
  arrivalChanges: Partial<ArrivalRecord> = {},
): {call: CallRecord; arrival: ArrivalRecord} {
  const sentAtMs = callChanges.sentAtMs ?? LONG_MS;
  const id = callChanges.id ?? `added-${history.calls.length}`;
  const kind = callChanges.kind ?? 'safe';
  const path = callChanges.path ?? '/read/1';
  const arrival: ArrivalRecord = {
    id,
    path,
    worker: 'w1',
    service: kind === 'safe' ? 'reads' : 'writes',
    body: '',
    atMs: sentAtMs + 1,
    hasRun: true,
    ...arrivalChanges,
  };
  const call: CallRecord = {
    id,
    kind,
    path,
    entry: ENTRY,
    sentAtMs,
    endedAtMs: sentAtMs + GAP_MS / 2,
    status: 200,
    worker: arrival.worker,
    body: toAnswer(arrival.worker, id, ''),
    ...callChanges,
  };
  history.calls.push(call);
  history.arrivals.push(arrival);
  history.calls.sort((left, right) => left.sentAtMs - right.sentAtMs);
  return {call, arrival};
}

function addDisturbance(
  history: History,
  subject: string,
  what: string,
  isPlanned: boolean,
): void {
  history.disturbances.push({
    subject,
    what,
    isPlanned,
    fromMs: LONG_MS - GAP_MS,
    toMs: LONG_MS + GAP_MS,
  });
}
