/** Steps for when a configuration may deny requests. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {DenialGate} from '@wasabidyke/balancer';
import {ManualClock} from '@wasabidyke/shared';

/** A clock whose monotonic part stands still while the machine is suspended. */
class SuspendableClock extends ManualClock {
  #suspendedMs = 0;

  override wallTime(): number {
    return super.wallTime() + this.#suspendedMs;
  }

  suspend(milliseconds: number): void {
    this.#suspendedMs += milliseconds;
  }
}

interface DenialWorld {
  denialClock: SuspendableClock;
  confirmedAtMs: number;
  askedAtMs: number;
  isTableNewest: boolean;
  denialGate: DenialGate;
}

/** Time for which a call waits for its answer, in milliseconds. */
const CALL_MS = 1;

/** Time between requests, in milliseconds: shorter than what counts as a pause. */
const REQUEST_GAP_MS = 100;

function createGate(world: DenialWorld): void {
  const clock = new SuspendableClock();
  world.denialClock = clock;
  world.isTableNewest = true;
  world.denialGate = new DenialGate({
    confirmation: () => ({
      ageMs: clock.now() - world.confirmedAtMs,
      askedAtMs: world.askedAtMs,
    }),
    isTableNewest: () => world.isTableNewest,
    clock,
  });
}

/** The store answers a call. */
function confirm(world: DenialWorld): void {
  world.askedAtMs = world.denialClock.now();
  world.denialClock.advance(CALL_MS);
  world.confirmedAtMs = world.denialClock.now();
}

/** Lets time pass in which requests come. */
function passTime(world: DenialWorld, milliseconds: number): void {
  for (let leftMs = milliseconds; leftMs > 0; leftMs -= REQUEST_GAP_MS) {
    world.denialClock.advance(Math.min(leftMs, REQUEST_GAP_MS));
    world.denialGate.onRequest();
  }
}

Given('a configuration that the store confirms', function (this: DenialWorld) {
  createGate(this);
  confirm(this);
});

Given(
  'a configuration that the store has never confirmed',
  function (this: DenialWorld) {
    createGate(this);
    this.confirmedAtMs = -Infinity;
    this.askedAtMs = -Infinity;
  },
);

When(
  '{int} ms pass for the entry, and its machine is suspended for {int} ms',
  function (this: DenialWorld, passedMs: number, suspendedMs: number) {
    passTime(this, passedMs);
    this.denialClock.suspend(suspendedMs);
    this.denialGate.onRequest();
  },
);

When(
  'the entry asks the store, and the answer waits in the buffer while the entry stands still for {int} ms',
  function (this: DenialWorld, pauseMs: number) {
    this.askedAtMs = this.denialClock.now();
    this.denialClock.advance(pauseMs);
    this.confirmedAtMs = this.denialClock.now();
    this.denialGate.onRequest();
  },
);

When(
  'the store confirms the configuration again',
  function (this: DenialWorld) {
    confirm(this);
  },
);

Then('requests may be denied', function (this: DenialWorld) {
  assert.equal(this.denialGate.mayDeny, true);
});

Then('requests may not be denied', function (this: DenialWorld) {
  assert.equal(this.denialGate.mayDeny, false);
});

When(
  'a newer configuration is read that cannot be applied',
  function (this: DenialWorld) {
    this.isTableNewest = false;
  },
);
