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
  denialGate: DenialGate;
}

function createGate(world: DenialWorld, confirmedAtMs: number): void {
  world.denialClock = new SuspendableClock();
  world.confirmedAtMs = confirmedAtMs;
  world.denialGate = new DenialGate({
    recordsAgeMs: () => world.denialClock.now() - world.confirmedAtMs,
    clock: world.denialClock,
  });
}

Given('a configuration that the store confirms', function (this: DenialWorld) {
  createGate(this, 0);
});

Given(
  'a configuration that the store has never confirmed',
  function (this: DenialWorld) {
    createGate(this, -Infinity);
  },
);

When(
  '{int} ms pass for the entry, and its machine is suspended for {int} ms',
  function (this: DenialWorld, passedMs: number, suspendedMs: number) {
    this.denialClock.advance(passedMs);
    this.denialClock.suspend(suspendedMs);
    this.denialGate.onRequest();
  },
);

When(
  'the store confirms the configuration again',
  function (this: DenialWorld) {
    this.denialClock.advance(1);
    this.confirmedAtMs = this.denialClock.now();
  },
);

Then('requests may be denied', function (this: DenialWorld) {
  assert.equal(this.denialGate.mayDeny, true);
});

Then('requests may not be denied', function (this: DenialWorld) {
  assert.equal(this.denialGate.mayDeny, false);
});
