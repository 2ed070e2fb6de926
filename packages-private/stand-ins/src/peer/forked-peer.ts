/** Peer processes and their parent's hold on them. */

import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import type {SeedPeer} from '@wasabidyke/peer';
import type {
  PeerProcessCommand,
  PeerProcessEvent,
  PeerProcessReport,
  PeerProcessSettings,
} from './messages.js';

const PROGRAM = fileURLToPath(new URL('./main.js', import.meta.url));

/** Time for a process to answer its parent. */
const ANSWER_TIMEOUT_MS = 60_000;

/** Told of what a process says by itself. */
export type PeerEventListener = (
  entry: string,
  event: PeerProcessEvent,
) => void;

/** One peer process. */
export class ForkedPeer {
  readonly settings: PeerProcessSettings;
  readonly #child: ChildProcess;
  readonly #onEvent: PeerEventListener;
  readonly #waiting = new Map<
    string,
    Array<(event: PeerProcessEvent) => void>
  >();
  #address = '';

  constructor(settings: PeerProcessSettings, onEvent: PeerEventListener) {
    this.settings = settings;
    this.#onEvent = onEvent;
    this.#child = fork(PROGRAM, {
      stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
    });
    this.#child.on('exit', (status, signal) => {
      if (signal !== 'SIGKILL') {
        const {entry} = this.settings.member;
        console.error(`${entry} ended: status ${status}, signal ${signal}`);
      }
    });
    this.#child.on('message', event => this.#on(event as PeerProcessEvent));
  }

  /** Where it listens. */
  get target(): SeedPeer {
    return {address: this.#address, region: this.settings.member.region};
  }

  /** Starts the peer task. */
  async start(seeds: readonly SeedPeer[]): Promise<void> {
    this.tell({kind: 'seeds', seeds});
    const event = await this.#ask(
      {kind: 'start', settings: this.settings},
      'listening',
    );
    this.#address = event.kind === 'listening' ? event.address : '';
  }

  /** Sends a command that needs no answer. */
  tell(command: PeerProcessCommand): void {
    this.#child.send(command);
  }

  /** Asks what it knows and has spent. */
  async report(): Promise<PeerProcessReport> {
    const event = await this.#ask({kind: 'report'}, 'report');
    if (event.kind !== 'report') {
      throw new Error(`Expected a report and got ${event.kind}.`);
    }
    return event.report;
  }

  /** Stops it from running, as a machine that stands still. */
  freeze(): void {
    this.#child.kill('SIGSTOP');
  }

  /** Lets it run on. */
  resume(): void {
    this.#child.kill('SIGCONT');
  }

  /** Ends it without notice. */
  async kill(): Promise<void> {
    if (this.#child.exitCode === null && this.#child.signalCode === null) {
      const exited = once(this.#child, 'exit');
      this.#child.kill('SIGKILL');
      await exited;
    }
  }

  #on(event: PeerProcessEvent): void {
    const waiting = this.#waiting.get(event.kind)?.shift();
    if (waiting === undefined) {
      this.#onEvent(this.settings.member.entry, event);
    } else {
      waiting(event);
    }
  }

  #ask(
    command: PeerProcessCommand,
    answer: PeerProcessEvent['kind'],
  ): Promise<PeerProcessEvent> {
    return new Promise((resolve, reject) => {
      const {entry} = this.settings.member;
      const timer = setTimeout(
        () => reject(new Error(`${entry} did not answer "${command.kind}".`)),
        ANSWER_TIMEOUT_MS,
      );
      const queue = this.#waiting.get(answer) ?? [];
      this.#waiting.set(answer, queue);
      queue.push(event => {
        clearTimeout(timer);
        resolve(event);
      });
      this.tell(command);
    });
  }
}
