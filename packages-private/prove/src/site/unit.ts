/** A part of a site that can be ended and started again. */

import type {z} from 'zod';
import {ManagedProcess, type ProcessOptions} from './managed-process.js';

/** A part of a site that can be ended and started again. */
export class Unit<Schema extends z.ZodType> {
  readonly options: ProcessOptions;
  readonly #readySchema: Schema;
  #process: ManagedProcess | undefined;
  #ready: z.infer<Schema> | undefined;
  #starting: Promise<void> | undefined;

  constructor(options: ProcessOptions, readySchema: Schema) {
    this.options = options;
    this.#readySchema = readySchema;
  }

  /** The process that runs now. */
  get process(): ManagedProcess {
    if (this.#process === undefined) {
      throw new Error(`${this.options.name} was not started`);
    }
    return this.#process;
  }

  /** Whether a process lives that has become ready. */
  get isReady(): boolean {
    return this.#ready !== undefined && this.#process?.hasEnded === false;
  }

  /** What the process said when it became ready. */
  get ready(): z.infer<Schema> {
    if (this.#ready === undefined) {
      throw new Error(`${this.options.name} is not ready`);
    }
    return this.#ready;
  }

  /** Starts a process, unless one lives, and waits until it is ready. */
  start(): Promise<void> {
    this.#starting ??= this.#startProcess().finally(
      () => (this.#starting = undefined),
    );
    return this.#starting;
  }

  /** Ends the process at once. */
  async kill(): Promise<void> {
    await this.#process?.kill();
  }

  async #startProcess(): Promise<void> {
    if (this.#process !== undefined && !this.#process.hasEnded) {
      return;
    }
    this.#ready = undefined;
    const process = ManagedProcess.start(this.options);
    this.#process = process;
    try {
      this.#ready = await process.waitUntilReady(this.#readySchema);
    } catch (error) {
      if (!process.isKilled) {
        throw error;
      }
    }
  }
}
