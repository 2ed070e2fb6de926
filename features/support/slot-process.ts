/** Processes that hold numbered slots, started, frozen and resumed by tests. */

import assert from 'node:assert/strict';
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';
import {eventually} from './eventually.js';
import {SLOT_HOLDER_FILE, type SlotReading} from './slot-holder.js';

/** A process that holds a slot or searches for one. */
export class SlotProcess {
  readonly #child: ChildProcess;
  #latest: SlotReading = {number: null};
  #count = 0;
  #heldCount = 0;

  constructor(options: readonly string[]) {
    this.#child = spawn(process.execPath, [SLOT_HOLDER_FILE, ...options], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    assert.ok(this.#child.stdout);
    createInterface(this.#child.stdout).on('line', line => this.#take(line));
  }

  /** The slot of the latest reading. */
  get number(): number | null {
    return this.#latest.number;
  }

  /** Sends a signal to the process. */
  signal(name: 'SIGSTOP' | 'SIGCONT'): void {
    assert.ok(this.#child.kill(name));
  }

  /** Waits for `count` further readings and returns how many of them showed a slot. */
  async countHeld(count: number): Promise<number> {
    const end = this.#count + count;
    const heldBefore = this.#heldCount;
    await eventually(`${count} readings`, () => this.#count >= end);
    return this.#heldCount - heldBefore;
  }

  /** Ends the process and waits until it is gone. */
  async stop(): Promise<void> {
    if (this.#child.exitCode === null && this.#child.signalCode === null) {
      this.#child.kill('SIGKILL');
      await once(this.#child, 'exit');
    }
  }

  #take(line: string): void {
    this.#latest = JSON.parse(line) as SlotReading;
    this.#count += 1;
    this.#heldCount += this.#latest.number === null ? 0 : 1;
  }
}
