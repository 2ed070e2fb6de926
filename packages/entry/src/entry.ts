/** The entry process: start, periodic work and graceful shutdown. */

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

/** Time between two ticks, in milliseconds. Each tick drops expired state and publishes this entry's load to other entries. */
const TICK_MS = SECOND_MS;

/** Time between two checks of a stopping entry for at-most-once requests that are still running, in milliseconds. */
const RUN_POLL_MS = 50;

/** Time for other entries to receive the announcement that this one is stopping, in milliseconds. */
const PROPAGATION_RESERVE_MS = 2 * SECOND_MS;

/** An entry process. */
export class Entry {
  readonly #cradle: EntryCradle;
  #tickTimer: NodeJS.Timeout | undefined;
  #stopping: Promise<void> | undefined;
  #skipWait: (() => void) | undefined;

  constructor(container: EntryContainer) {
    this.#cradle = container.cradle;
  }

  /** Opens the listeners and starts to look for a manifest. @throws If an address can't be bound or the first manifest can't be read or is invalid. */
  async start(): Promise<void> {
    const {keeper, source, callerListener, operatorServer, loadWatch, group} =
      this.#cradle;
    keeper.onSnapshot(snapshot => this.#onSnapshot(snapshot));
    this.#cradle.entryLifeCycle.onStateChange(state => {
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
    this.#tickTimer = setInterval(() => this.#onTick(), TICK_MS);
  }

  /** Shuts down gracefully: requests in flight are completed. A second call skips the wait for callers that hold an older list of entries. */
  stop(): Promise<void> {
    if (this.#stopping !== undefined) {
      this.#skipWait?.();
      return this.#stopping;
    }
    this.#stopping = this.#stop();
    return this.#stopping;
  }

  async #stop(): Promise<void> {
    const {entryLifeCycle, callerListener, group} = this.#cradle;
    const wasServing = entryLifeCycle.state === 'serving';
    entryLifeCycle.trigger('STOP');
    this.#beginDeadline();
    if (wasServing) {
      callerListener.startDraining();
      await this.#waitForListExpiry();
    }
    await callerListener.stop();
    await this.#waitForRuns();
    await group.handOver();
    await this.#close();
    entryLifeCycle.trigger('DRAINED');
  }

  /** Has all requests answered before the process is killed, if it is known when. */
  #beginDeadline(): void {
    const {settings, stopDeadline, dispatcher, callerListener} = this.#cradle;
    const {stopWithinSeconds} = settings;
    if (stopWithinSeconds === undefined) {
      return;
    }
    stopDeadline.begin(stopWithinSeconds * SECOND_MS);
    setTimeout(() => {
      dispatcher.expire();
      callerListener.expire();
    }, stopDeadline.remainingMs).unref();
  }

  /** Waits until lists that name this entry have reached their maximum age. Callers that hold one may send requests until then. */
  async #waitForListExpiry(): Promise<void> {
    const {keeper, stopDeadline} = this.#cradle;
    const maximumAgeSeconds =
      keeper.snapshot?.manifest.entries.listMaximumAgeSeconds ?? 0;
    // Half of the time is left for requests of callers that come last.
    const waitMs = Math.min(
      maximumAgeSeconds * SECOND_MS + PROPAGATION_RESERVE_MS,
      stopDeadline.remainingMs / 2,
    );
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, waitMs);
      this.#skipWait = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  /** Waits for at-most-once requests. One may still be running after its caller got a timeout. */
  async #waitForRuns(): Promise<void> {
    const {ledger, stopDeadline} = this.#cradle;
    while (ledger.running > 0 && stopDeadline.remainingMs > 0) {
      await sleep(RUN_POLL_MS);
    }
  }

  async #close(): Promise<void> {
    const {source, loadWatch, forwarder, registry, operatorServer, group} =
      this.#cradle;
    clearInterval(this.#tickTimer);
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

  #onTick(): void {
    const {ledger, adopted, group, callerListener, source, budgetSlot} =
      this.#cradle;
    ledger.removeExpired();
    adopted.removeExpired();
    group.onTick(callerListener.inFlight);
    source.onTick();
    budgetSlot.onTick();
  }

  /** Writes the manifest from a file to the embedded store, which is used without a platform. */
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
      message: `Runs as a standalone entry with the manifest from ${file}; later manifests and keys are kept in memory only and lost when it stops.`,
    });
  }
}

async function readManifestFile(file: string): Promise<string> {
  try {
    return await readFile(file, 'utf8');
  } catch {
    throw new Error(
      `The manifest file "${file}" cannot be read; check the setting platform.manifestFile.`,
    );
  }
}
