/** Processes that hold numbered slots, started, frozen and resumed by tests. */

import assert from 'node:assert/strict';
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';
import {eventually} from './eventually.js';
import {SLOT_HOLDER_FILE, type SlotReading} from './slot-holder.js';

/** A time during which a process held a slot in one term. */
export interface HeldSpan {
  readonly holder: string;
  readonly number: number;
  readonly firstMs: number;
  readonly lastMs: number;
}

/** A process that holds a slot or searches for one. */
export class SlotProcess {
  readonly #child: ChildProcess;
  readonly #name: string;
  readonly #spans = new Map<number, HeldSpan>();
  #latest: SlotReading = {atMs: 0, slot: null};
  #count = 0;

  constructor(name: string, options: readonly string[]) {
    this.#name = name;
    this.#child = spawn(process.execPath, [SLOT_HOLDER_FILE, ...options], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    assert.ok(this.#child.stdout);
    createInterface(this.#child.stdout).on('line', line => this.#take(line));
  }

  /** The slot of the latest reading. */
  get number(): number | undefined {
    return this.#latest.slot?.number;
  }

  /** The spans in which it held a slot, one for each term. */
  get spans(): readonly HeldSpan[] {
    return [...this.#spans.values()];
  }

  /** Sends a signal to the process. */
  signal(name: 'SIGSTOP' | 'SIGCONT'): void {
    assert.ok(this.#child.kill(name));
  }

  /** Waits for `count` further readings. */
  async read(count: number): Promise<void> {
    const end = this.#count + count;
    await eventually(`${count} readings`, () => this.#count >= end);
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
    const {atMs, slot} = this.#latest;
    if (slot !== null) {
      const firstMs = this.#spans.get(slot.term)?.firstMs ?? atMs;
      const span = {holder: this.#name, number: slot.number, firstMs};
      this.#spans.set(slot.term, {...span, lastMs: atMs});
    }
  }
}
