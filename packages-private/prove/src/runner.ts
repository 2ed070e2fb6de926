/** Runs a schedule on a site and checks the history. */

import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {CHECKS, History, PROMISES, readHistory} from '@wasabidyke/stand-ins';
import type {CheckReport, PromiseName} from '@wasabidyke/stand-ins';
import {z} from 'zod';
import {FAULTS, type FaultContext} from './faults/index.js';
import type {
  PlannedCaller,
  PlannedFault,
  Schedule,
} from './schedule/schedule.js';
import {ManagedProcess} from './site/managed-process.js';
import {PROGRAMS, type RunDirectory} from './site/programs.js';
import {Sampler} from './site/sampler.js';
import {Site} from './site/site.js';

/** How long callers may go on after the last request was sent. */
const CALLERS_GRACE_MS = 12_000;

/** Time for the last accepted manifest to be seen in force, or late. */
const SETTLE_MS = 8_000;
const SUPERVISION_PERIOD_MS = 300;

/** What a run came to. */
export interface RunReport {
  readonly history: History;
  readonly reports: ReadonlyMap<PromiseName, CheckReport>;
}

/** Runs a schedule. */
export class Runner {
  readonly #schedule: Schedule;
  readonly #directory: RunDirectory;
  readonly #weakened: string | undefined;

  constructor(
    schedule: Schedule,
    directory: RunDirectory,
    weakened: string | undefined,
  ) {
    this.#schedule = schedule;
    this.#directory = directory;
    this.#weakened = weakened;
  }

  /** Runs the schedule on a new site and checks what happened. */
  async run(): Promise<RunReport> {
    const site = new Site({
      directory: this.#directory,
      seed: this.#schedule.seed,
      weakened: this.#weakened,
      hasShortLeases: this.#schedule.promise === 'load-watch',
    });
    try {
      await site.start();
      await this.#runOn(site);
    } finally {
      await site.kill();
    }
    return this.#check();
  }

  async #runOn(site: Site): Promise<void> {
    const sampler = new Sampler(site.layout.entries, site.history);
    const context = {site, sampler};
    const callers = await Promise.all(
      this.#schedule.callers.map(caller => this.#startCaller(site, caller)),
    );
    sampler.start();
    const supervision = setInterval(
      () => restartCrashed(site),
      SUPERVISION_PERIOD_MS,
    );
    for (const caller of callers) {
      caller.writeLine('start');
    }
    const faults = this.#schedule.faults.map(each => runFault(context, each));
    await Promise.all(faults);
    await this.#endCallers(callers);
    if (this.#isToSettle()) {
      await sleep(SETTLE_MS);
    }
    clearInterval(supervision);
    sampler.stop();
  }

  #isToSettle(): boolean {
    const {promise} = this.#schedule;
    return promise === undefined || promise === 'manifest';
  }

  async #startCaller(
    site: Site,
    {name, keepsOldList, requests}: PlannedCaller,
  ): Promise<ManagedProcess> {
    const options = this.#directory.prepare(name, PROGRAMS.caller, {
      process: name,
      seed: this.#schedule.seed,
      historyFile: this.#directory.toHistoryFile(name),
      entries: site.callerAddresses,
      keepsOldList,
      requests,
    });
    const caller = ManagedProcess.start(options);
    await caller.waitUntilReady(z.looseObject({}));
    return caller;
  }

  async #endCallers(callers: readonly ManagedProcess[]): Promise<void> {
    const ended = Promise.all(callers.map(caller => caller.ended));
    const grace = new AbortController();
    const timeout = sleep(CALLERS_GRACE_MS, undefined, grace).catch(() => {});
    await Promise.race([ended, timeout]);
    grace.abort();
    await Promise.all(callers.map(caller => caller.kill()));
  }

  #check(): RunReport {
    const history = readHistory(this.#directory.path);
    const lines = history.events.map(event => JSON.stringify(event));
    const file = join(this.#directory.path, 'history.json-lines');
    writeFileSync(file, `${lines.join('\n')}\n`);
    const reports = new Map(
      PROMISES.map(promise => [promise, CHECKS[promise](history)] as const),
    );
    return {history, reports};
  }
}

async function runFault(
  context: FaultContext,
  planned: PlannedFault,
): Promise<void> {
  const {name, target, atMs, lengthMs} = planned;
  const fault = FAULTS[name];
  const event = {kind: 'fault', fault: fault.historyName, target} as const;
  await sleep(atMs);
  context.site.history.record({...event, phase: 'begin'});
  await fault.begin(context, target);
  await sleep(lengthMs);
  await fault.end(context, target);
  context.site.history.record({...event, phase: 'end'});
}

/** Workers that crashed on a request come back, as a supervisor would bring them. */
function restartCrashed(site: Site): void {
  for (const {unit} of site.workers.values()) {
    if (unit.process.exitStatus > 0) {
      void unit.start();
    }
  }
}
