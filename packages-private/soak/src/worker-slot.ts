/** One place of a worker behind a link: its starts, leavings and faults. */

import {Link} from '@wasabidyke/stand-ins';
import {nowMs, type History} from './history.js';
import type {Operator} from './operator.js';
import {WorkerStandIn} from './worker-stand-in.js';

/** Time that a worker serves on after it announced its leaving, in milliseconds: `drain` and a little longer. */
const LEAVING_MS = 3_500;

/** Time after a departure at which an older announcement is written, and for which the worker serves on then, in milliseconds: longer than `drain`. */
const LATE_WRITE_MS = 800;
const SERVING_ON_MS = 4_700;

/** Time after which an address may go to another service, in milliseconds. */
const REUSE_MS = 2_000;

/** Time until a worker that a request crashed is back, in milliseconds. */
const CRASHED_MS = 1_500;

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** One place of a worker. */
export class WorkerSlot {
  readonly worker: WorkerStandIn;
  readonly #name: string;
  readonly #zone: string;
  readonly #operator: Operator;
  readonly #history: History;
  /** Finds the entry whose process opened a connection. */
  readonly #findEntry: (port: number) => string | undefined;
  #link: Link | undefined;
  #address = '';
  #starts = 0;
  /** Whether it is about to leave or to return, so that nothing else is done to it. */
  #isBusy = false;

  constructor(
    name: string,
    zone: string,
    service: string,
    operator: Operator,
    history: History,
    findEntry: (port: number) => string | undefined,
  ) {
    this.#name = name;
    this.#zone = zone;
    this.#operator = operator;
    this.#history = history;
    this.#findEntry = findEntry;
    this.worker = new WorkerStandIn(`${name}-0`, service, history);
    this.worker.onCrash = () => this.#onCrash();
  }

  get isBusy(): boolean {
    return this.#isBusy;
  }

  /** The link in front of it. @throws Before it was started. */
  get link(): Link {
    if (this.#link === undefined) {
      throw new Error(`${this.#name} has no link yet`);
    }
    return this.#link;
  }

  async start(): Promise<void> {
    const target = await this.worker.listen();
    this.#link = new Link({
      name: this.#name,
      listen: '127.0.0.1:0',
      target,
      mode: 'open',
      delayMs: 0,
    });
    this.#address = await this.#link.listen();
    this.worker.findSender = port => {
      const callerPort = this.#link?.callerPortOf(port);
      return callerPort === undefined ? undefined : this.#findEntry(callerPort);
    };
    this.#announce();
  }

  /** Ends at once, and starts again as another one; its former announcement vanishes meanwhile. */
  crash(forMs: number): Promise<void> {
    return this.#away(async () => {
      const {id, service} = this.worker;
      this.worker.crash();
      await sleep(forMs);
      this.#operator.withdraw(id);
      await this.#restart(service);
    });
  }

  /** Ends, and its address goes to a worker of the other service. */
  replace(): Promise<void> {
    return this.#away(async () => {
      const {id, service} = this.worker;
      this.worker.crash();
      this.#operator.withdraw(id);
      await sleep(REUSE_MS);
      await this.#restart(service === 'reads' ? 'writes' : 'reads');
    });
  }

  /** Has it say in its answers alone that it leaves, while its announcement stays, until it ends. */
  leaveByAnswers(forMs: number): Promise<void> {
    return this.#away(async () => {
      const {id, service} = this.worker;
      this.worker.isLeaving = true;
      await sleep(forMs);
      this.#operator.withdraw(id);
      this.worker.crash();
      await this.#restart(service);
    });
  }

  /** Leaves as planned, announced or not, and another one comes in its place. */
  leave(isAnnounced: boolean): Promise<void> {
    return this.#away(async () => {
      const {id, service} = this.worker;
      this.worker.isLeaving = true;
      if (isAnnounced) {
        this.#operator.announce(
          id,
          service,
          this.#address,
          this.#zone,
          'draining',
        );
      } else {
        this.#operator.withdraw(id);
      }
      await sleep(LEAVING_MS);
      this.#operator.withdraw(id);
      this.worker.crash();
      await this.#restart(service);
    });
  }

  /** Leaves unannounced; an older announcement is written after its departure, while it serves on. */
  leaveAnnouncedLate(): Promise<void> {
    return this.#away(async () => {
      const {id, service} = this.worker;
      this.#operator.withdraw(id);
      await sleep(LATE_WRITE_MS);
      this.#operator.announceLate(id);
      await sleep(SERVING_ON_MS);
      this.#operator.withdraw(id);
      this.worker.crash();
      await this.#restart(service);
    });
  }

  close(): void {
    this.worker.crash();
  }

  /** A worker that is about to leave or to return ends now, and returns when it would have. */
  #onCrash(): void {
    const fromMs = nowMs();
    this.#history.disturbances.push({
      subject: this.worker.id,
      what: 'crashing-request',
      fromMs,
      toMs: fromMs + CRASHED_MS,
      isPlanned: false,
    });
    if (this.#isBusy) {
      this.worker.crash();
    } else {
      void this.crash(CRASHED_MS);
    }
  }

  async #away(act: () => Promise<void>): Promise<void> {
    this.#isBusy = true;
    await act();
    this.#isBusy = false;
  }

  async #restart(service: string): Promise<void> {
    this.#starts += 1;
    await this.worker.restart(`${this.#name}-${this.#starts}`, service);
    this.#announce();
  }

  #announce(): void {
    const {id, service} = this.worker;
    this.#operator.announce(id, service, this.#address, this.#zone);
  }
}
