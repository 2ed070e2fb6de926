/** Faults of workers and of the links to them. */

import type {Faults, LinkChange} from '@wasabidyke/stand-ins';
import {Fault, type FaultContext} from './fault.js';

/** A worker behaves badly for a while. */
export class WorkerFault extends Fault {
  override readonly targetKind = 'worker';
  override readonly historyName: string;
  readonly #faults: Partial<Faults>;
  readonly #usual: Partial<Faults>;

  /** @param usual What `faults` are set to again. */
  constructor(name: string, faults: Partial<Faults>, usual: Partial<Faults>) {
    super();
    this.historyName = name;
    this.#faults = faults;
    this.#usual = usual;
  }

  override async begin({site}: FaultContext, target: string): Promise<void> {
    await site.changeWorker(target, {faults: this.#faults});
  }

  override async end({site}: FaultContext, target: string): Promise<void> {
    await site.changeWorker(target, {faults: this.#usual});
  }
}

/** The link to a worker, or that of an entry to the store, is changed for a while. */
export class LinkFault extends Fault {
  override readonly targetKind: 'entry' | 'worker';
  override readonly historyName: string;
  readonly #change: Omit<LinkChange, 'links'>;

  constructor(
    name: string,
    targetKind: 'entry' | 'worker',
    change: Omit<LinkChange, 'links'>,
  ) {
    super();
    this.historyName = name;
    this.targetKind = targetKind;
    this.#change = change;
  }

  override async begin({site}: FaultContext, target: string): Promise<void> {
    await site.changeLinks([this.#toLink(target)], this.#change);
  }

  override async end({site}: FaultContext, target: string): Promise<void> {
    const usual = {mode: 'open', delayMs: 0};
    await site.changeLinks([this.#toLink(target)], usual);
  }

  #toLink(target: string): string {
    return this.targetKind === 'entry' ? `store-${target}` : target;
  }
}
