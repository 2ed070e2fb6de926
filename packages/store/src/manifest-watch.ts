/** Watches the manifest in the store through the store's outages. */

import type {ManifestRecord} from '@wasabidyke/manifest';
import {
  Backoff,
  type BackoffOptions,
  Chart,
  LifeCycle,
  Task,
  type MetricRegistry,
  type Reporter,
} from '@wasabidyke/shared';
import {ManifestIntake, type ManifestListener} from './manifest-intake.js';
import {MANIFEST_KEY} from './manifest-repository.js';
import type {Store, StoreError, StoreValue, Watch} from './store.js';

/** States of the session with the store. */
export type StoreSessionState =
  'idle' | 'opening' | 'standing' | 'waiting' | 'closed';

type StoreSessionTrigger = 'OPEN' | 'STARTED' | 'LOST' | 'CLOSE';

const CHART = Chart.load<StoreSessionState, StoreSessionTrigger>(
  new URL('../charts/store-session.chart.json', import.meta.url),
);

/** Messages that may wait; when one is refused the watch is opened anew. */
const MAILBOX_CAPACITY = 64;

/** What the watch needs. */
export interface ManifestWatchOptions {
  readonly store: Store;
  readonly listener: ManifestListener;
  /** The newest record known from elsewhere; nothing older is handed on. */
  readonly newestKnown?: () => ManifestRecord | undefined;
  /** Time between readings while the watch stands, in milliseconds: a watch can end unnoticed. */
  readonly pollMs: number;
  /** Waits between attempts while the store is down. */
  readonly backoff: BackoffOptions;
  readonly metrics: MetricRegistry;
  readonly reporter: Reporter;
}

/** Messages of the task; `watch` tells which of its watches is meant. */
type WatchMessage =
  | {readonly kind: 'open'}
  | {readonly kind: 'poll'}
  | {readonly kind: 'started'; readonly watch: number}
  | {readonly kind: 'ended'; readonly watch: number; readonly error: StoreError}
  | {
      readonly kind: 'value';
      readonly watch: number;
      readonly value: StoreValue | undefined;
    };

/**
 * Reads and watches the manifest, and hands on each record that is newer than
 * all before. Reads after each start of a watch, so that no change is missed.
 */
export class ManifestWatch extends Task<WatchMessage> {
  readonly #options: ManifestWatchOptions;
  readonly #session: LifeCycle<StoreSessionState, StoreSessionTrigger>;
  readonly #intake: ManifestIntake;
  readonly #backoff: Backoff;
  #watch: Watch | undefined;
  #watchNumber = 0;
  #timer: NodeJS.Timeout | undefined;
  #hasLostMessage = false;
  #isDown = false;

  constructor(options: ManifestWatchOptions) {
    super('manifest-watch', MAILBOX_CAPACITY, (_task, error) =>
      this.#lose(String(error)),
    );
    this.#options = options;
    this.#session = new LifeCycle(CHART);
    this.#intake = new ManifestIntake(options);
    this.#backoff = new Backoff(options.backoff);
  }

  /** How this process stands with the store. */
  get state(): StoreSessionState {
    return this.#session.state;
  }

  /** Begins to watch. */
  start(): void {
    this.#send({kind: 'open'});
  }

  override close(): void {
    super.close();
    this.#session.trigger('CLOSE');
    this.#endWatch();
    clearTimeout(this.#timer);
  }

  protected override async handle(message: WatchMessage): Promise<void> {
    if (this.#hasLostMessage) {
      this.#hasLostMessage = false;
      this.#lose('messages were lost');
    }
    if ('watch' in message && message.watch !== this.#watchNumber) {
      return;
    }
    switch (message.kind) {
      case 'open':
        return this.#open();
      case 'started':
        this.#session.trigger('STARTED');
        return this.#read();
      case 'poll':
        return this.#poll();
      case 'value':
        return this.#intake.takeChange(message.value);
      case 'ended':
        return this.#lose(message.error.message);
    }
  }

  #send(message: WatchMessage): void {
    if (!this.post(message)) {
      this.#hasLostMessage = true;
    }
  }

  #open(): void {
    if (!this.#session.trigger('OPEN')) {
      return;
    }
    this.#watchNumber += 1;
    const watch = this.#watchNumber;
    this.#watch = this.#options.store.watch(MANIFEST_KEY, {
      onStart: () => this.#send({kind: 'started', watch}),
      onValue: value => this.#send({kind: 'value', watch, value}),
      onEnd: error => this.#send({kind: 'ended', watch, error}),
    });
  }

  async #poll(): Promise<void> {
    await this.#read();
    if (this.#session.state === 'standing') {
      this.#backoff.reset();
    }
  }

  async #read(): Promise<void> {
    const read = await this.#options.store.read(MANIFEST_KEY);
    if (this.#session.state !== 'standing') {
      return;
    }
    if (read.isErr()) {
      this.#lose(read.error.message);
      return;
    }
    this.#rise();
    this.#intake.takeReading(read.value);
    this.#schedule({kind: 'poll'}, this.#options.pollMs);
  }

  #lose(reason: string): void {
    this.#endWatch();
    if (!this.#session.trigger('LOST')) {
      return;
    }
    if (!this.#isDown) {
      this.#isDown = true;
      this.#options.reporter.report({
        level: 'warn',
        code: 'store.down',
        subject: MANIFEST_KEY,
        message: `The manifest cannot be watched; the one in force stays. ${reason}`,
      });
    }
    this.#schedule({kind: 'open'}, this.#backoff.nextDelayMs());
  }

  #rise(): void {
    if (this.#isDown) {
      this.#isDown = false;
      this.#options.reporter.report({
        level: 'info',
        code: 'store.up',
        subject: MANIFEST_KEY,
        message: 'The manifest is watched again.',
      });
    }
  }

  #endWatch(): void {
    this.#watchNumber += 1;
    this.#watch?.close();
    this.#watch = undefined;
  }

  #schedule(message: WatchMessage, delayMs: number): void {
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => this.#send(message), delayMs);
  }
}
