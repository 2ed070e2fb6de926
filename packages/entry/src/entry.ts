/** The entry process: its start, its work and its planned stop. */

import {readFile} from 'node:fs/promises';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  createManifestRecord,
  parseManifest,
  type Snapshot,
} from '@wasabidyke/manifest';
import {MANIFEST_KEY} from '@wasabidyke/store';
import {formatFinding, SECOND_MS} from '@wasabidyke/shared';
import type {EntryContainer, EntryCradle} from './container.js';

/** How often lapsed state is forgotten and other entries are told of the load, in milliseconds. */
const PERIOD_MS = SECOND_MS;

/** How often a stopping entry looks for runs that are still under way, in milliseconds. */
const RUN_POLL_MS = 50;

/** Time for other entries to hear that this one is being stopped. */
const SPREAD_RESERVE_MS = 2 * SECOND_MS;

/** An entry process. */
export class Entry {
  readonly #cradle: EntryCradle;
  #periodTimer: NodeJS.Timeout | undefined;
  #stopping: Promise<void> | undefined;
  #endWait: (() => void) | undefined;

  constructor(container: EntryContainer) {
    this.#cradle = container.cradle;
  }

  /** Opens the listeners and begins to look for a manifest. @throws When an address cannot be had or the first manifest is wrong. */
  async start(): Promise<void> {
    const {keeper, source, callerListener, operatorServer, loadWatch, group} =
      this.#cradle;
    keeper.onSnapshot(snapshot => this.#onSnapshot(snapshot));
    this.#cradle.entryLifeCycle.onState(state => {
      if (state !== 'starting' && state !== 'stopped') {
        group.setState(state);
      }
    });
    await callerListener.listen();
    const listening = await operatorServer.listen();
    if (listening.isErr()) {
      throw new Error(listening.error.message);
    }
    this.#cradle.entryLifeCycle.trigger('LISTEN');
    await this.#seedEmbeddedStore();
    await group.start();
    source.start();
    loadWatch.start();
    this.#cradle.budgetSlot.start();
    this.#periodTimer = setInterval(() => this.#onPeriod(), PERIOD_MS);
  }

  /** Stops without cutting off a request. A second call no longer waits for callers that hold an older list. */
  stop(): Promise<void> {
    if (this.#stopping !== undefined) {
      this.#endWait?.();
      return this.#stopping;
    }
    this.#stopping = this.#stop();
    return this.#stopping;
  }

  async #stop(): Promise<void> {
    const {entryLifeCycle, callerListener, group} = this.#cradle;
    const wasServing = entryLifeCycle.state === 'serving';
    entryLifeCycle.trigger('STOP');
    if (wasServing) {
      callerListener.startDraining();
      await this.#waitForOldLists();
    }
    await callerListener.stop();
    await this.#waitForRuns();
    await group.handOver();
    await this.#close();
    entryLifeCycle.trigger('DRAINED');
  }

  /** Callers that hold a list which names this entry may come until it has aged. */
  async #waitForOldLists(): Promise<void> {
    const {keeper} = this.#cradle;
    const ageSeconds =
      keeper.snapshot?.manifest.entries.listMaximumAgeSeconds ?? 0;
    const waitMs = ageSeconds * SECOND_MS + SPREAD_RESERVE_MS;
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, waitMs);
      this.#endWait = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  /** A run may go on after its caller was told that its time was over. */
  async #waitForRuns(): Promise<void> {
    const {ledger} = this.#cradle;
    while (ledger.running > 0) {
      await sleep(RUN_POLL_MS);
    }
  }

  async #close(): Promise<void> {
    const {source, loadWatch, forwarder, registry, operatorServer, group} =
      this.#cradle;
    clearInterval(this.#periodTimer);
    loadWatch.stop();
    await this.#cradle.budgetSlot.stop();
    await group.stop();
    await source.stop();
    await forwarder.close();
    await registry.close();
    await operatorServer.close();
  }

  #onSnapshot(snapshot: Snapshot): void {
    const {registry, retryBudget, entryLifeCycle, group} = this.#cradle;
    registry.apply(snapshot);
    group.onSnapshot(snapshot);
    retryBudget.applyShare(snapshot.manifest.entries.retryShare);
    entryLifeCycle.trigger('MANIFEST');
  }

  #onPeriod(): void {
    const {ledger, adopted, group, callerListener, source, budgetSlot} =
      this.#cradle;
    ledger.sweep();
    adopted.sweep();
    group.onPeriod(callerListener.inFlight);
    source.onPeriod();
    budgetSlot.onPeriod();
  }

  /** Without a platform, the first manifest comes from a file. */
  async #seedEmbeddedStore(): Promise<void> {
    const {settings, store, reporter} = this.#cradle;
    if (settings.platform.kind !== 'embedded') {
      return;
    }
    const file = settings.platform.manifestFile;
    const body = await readManifestFile(file);
    const parsed = parseManifest(file, body);
    if (parsed.isErr()) {
      throw new Error(parsed.error.map(formatFinding).join('\n'));
    }
    const record = createManifestRecord(1, 'manifest-file', body);
    const value = JSON.stringify(record);
    await store.compareAndSwap({key: MANIFEST_KEY, expectedVersion: 0, value});
    reporter.report({
      level: 'info',
      code: 'entry.embedded',
      subject: settings.name,
      message: `Runs alone, with its manifest from ${file}; later manifests and keys are kept in memory and lost at its end.`,
    });
  }
}

async function readManifestFile(file: string): Promise<string> {
  try {
    return await readFile(file, 'utf8');
  } catch {
    throw new Error(
      `The manifest ${file} cannot be read; correct platform.manifestFile.`,
    );
  }
}
