/** Steps for requests that wait for a slot, without a network. */

import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {RequestDispatcher, type RoutedRequest} from '@wasabidyke/balancer';
import {SeededRandom} from '@wasabidyke/policy';
import {SystemClock} from '@wasabidyke/shared';

type Result = Awaited<RequestDispatcher['result']>;

interface WaitingWorld {
  dispatcher: RequestDispatcher;
  hasSlot: boolean;
  isAuthorized: boolean;
  sends: number;
  result: Result;
}

/** Time in which the request selects an upstream several times, in milliseconds. */
const WAIT_MS = 60;

Given('a request that waits for a slot', async function (this: WaitingWorld) {
  this.hasSlot = false;
  this.isAuthorized = true;
  this.sends = 0;
  const request = {
    route: {name: 'read', targetLatencyMs: 8_000, maximumAttempts: 1},
    service: 'shop',
    priority: 1,
    arrivedAtMs: 0,
    ownDeadlineMs: Infinity,
    deadlineMs: new SystemClock().now() + 10_000,
    isStillAuthorized: () => this.isAuthorized,
  };
  const options = createOptions(this) as unknown;
  this.dispatcher = new RequestDispatcher(
    request as unknown as RoutedRequest,
    options as ConstructorParameters<typeof RequestDispatcher>[1],
  );
  this.dispatcher.start();
  await sleep(WAIT_MS);
  assert.equal(this.sends, 0);
});

When(
  /^its key is (revoked|still valid) and a slot gets free$/,
  async function (this: WaitingWorld, state: string) {
    this.isAuthorized = state === 'still valid';
    this.hasSlot = true;
    this.result = await this.dispatcher.result;
  },
);

Then(
  'the request is refused as not run, for {string}',
  function (this: WaitingWorld, reason: string) {
    assert.equal(this.sends, 0);
    assert.ok(this.result?.kind === 'refusal');
    assert.equal(this.result.refusal.reason, reason);
    assert.ok(this.result.refusal.isNotRun);
    assert.ok(Number(this.result.refusal.retryAfterMs) > 0);
  },
);

Then('the request is sent', function (this: WaitingWorld) {
  assert.equal(this.sends, 1);
});

/** Dependencies that end the request once it takes a connection. */
function createOptions(world: WaitingWorld): object {
  const connections = {
    take: () => {
      world.sends += 1;
      world.dispatcher.cancel();
      return undefined;
    },
  };
  const handle = {
    record: {zone: 'home-a'},
    statistics: {slowingSlots: 0, isUnresponsive: () => false},
    isResting: () => false,
    connections,
  };
  const admission = {
    onArrival: () => {},
    decide: () => (world.hasSlot ? 'send' : 'wait'),
    onWait: () => () => {},
    onSend: () => {},
  };
  return {
    clock: new SystemClock(),
    random: new SeededRandom(1),
    endsAtMs: () => Infinity,
    placement: {allows: () => true, describe: () => ({})},
    registry: {list: () => [], reach: () => ({isDoubtful: false})},
    crashMonitor: {hasSuspects: false},
    selector: {select: async () => ({handle, estimateMs: 1, freeSlots: 1})},
    routeState: {
      admission: () => admission,
      limitedAdmission: () => ({mayUse: () => true}),
      repeatBudget: () => ({onRequest: () => {}}),
      workEstimate: () => ({workMs: 10}),
    },
  };
}
