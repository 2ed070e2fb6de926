/** Steps for the memory of bodies while a quota is asked for, without a network. */

import assert from 'node:assert/strict';
import type {IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  awaitChargedBody,
  MemoryBudget,
  startReading,
  type Refusal,
} from '@wasabidyke/balancer';

interface BodyWorld {
  upload: PassThrough;
  memory: MemoryBudget;
  refuse: (refusal: Refusal) => void;
  fail: (error: Error) => void;
  /** What the caller of the quota got: 'refused', or 'failed' if the charge did. */
  outcome: Promise<string>;
}

const CAPACITY_BYTES = 100_000;
const LIMIT_BYTES = 50_000;
const BODY_BYTES = 40_000;
const PART = Buffer.alloc(BODY_BYTES / 4);
const REFUSAL: Refusal = {
  reason: 'quota-unknown',
  isNotRun: true,
  retryAfterMs: 100,
};

Given(
  /^a (sized|chunked) body of which (a part|all) was received$/,
  async function (this: BodyWorld, kind: string, received: string) {
    this.upload = new PassThrough();
    this.memory = new MemoryBudget(CAPACITY_BYTES);
    const headers =
      kind === 'sized'
        ? {'content-length': `${BODY_BYTES}`}
        : {'transfer-encoding': 'chunked'};
    const request = Object.assign(this.upload, {
      headers,
    }) as unknown as IncomingMessage;
    const charge = new Promise<Refusal>((resolve, reject) => {
      this.refuse = resolve;
      this.fail = reject;
    });
    const reading = startReading(request, {
      limitBytes: LIMIT_BYTES,
      memory: this.memory,
      withinMs: 5_000,
    });
    this.outcome = awaitChargedBody(request, reading, charge).then(
      ({kind}) => kind,
      () => 'failed',
    );
    this.upload.write(PART);
    if (received === 'all') {
      this.upload.end(Buffer.alloc(BODY_BYTES - PART.length));
    }
    await nextTurn();
    assert.ok(!isUnused(this.memory));
  },
);

When('its quota refuses it', async function (this: BodyWorld) {
  this.refuse(REFUSAL);
  assert.equal(await this.outcome, 'refused');
  await nextTurn();
});

When("its quota can't be charged", async function (this: BodyWorld) {
  this.fail(new Error('No quota'));
  assert.equal(await this.outcome, 'failed');
  await nextTurn();
});

When('more is received than a body may have', async function (this: BodyWorld) {
  this.upload.write(Buffer.alloc(LIMIT_BYTES));
  await nextTurn();
});

Then('no memory is taken for bodies', function (this: BodyWorld) {
  assert.ok(isUnused(this.memory));
});

Then(
  'what is received of it from then on takes none, up to the end',
  async function (this: BodyWorld) {
    this.upload.write(PART);
    await nextTurn();
    assert.ok(isUnused(this.memory));
    this.upload.end(Buffer.alloc(BODY_BYTES - 2 * PART.length));
    await nextTurn();
    assert.ok(isUnused(this.memory));
    assert.ok(this.upload.readableEnded);
  },
);

Then('its connection is closed', function (this: BodyWorld) {
  assert.ok(this.upload.destroyed);
});

/** Whether neither more nor less than all of the memory is free. */
function isUnused(memory: MemoryBudget): boolean {
  const isFree = memory.take(CAPACITY_BYTES);
  const isOverfull = isFree && memory.take(1);
  memory.release((isFree ? CAPACITY_BYTES : 0) + (isOverfull ? 1 : 0));
  return isFree && !isOverfull;
}
