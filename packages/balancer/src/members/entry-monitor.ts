/**
 * Checks other entries and tells the rest which ones are down, so that callers
 * are sent to none of them: neither the store nor the leases in it have to be
 * waited for. An entry that stops tells the others itself.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import type {
  LivenessOpinion,
  LivenessStatement,
  LivenessTracker,
} from '@wasabidyke/policy';
import type {Clock} from '@wasabidyke/shared';
import {bodyOf, type EntryClient} from '../feed/entry-client.js';
import type {DecisionLog} from '../reporting/decision-log.js';
import type {EntryRecord} from './entry-record.js';
import {
  CHECK_PATH,
  checkSchema,
  LIVENESS_PATH,
  opinionSchema,
  serializeStatements,
  statementsSchema,
} from './liveness-messages.js';

/** Options of `EntryMonitor`. */
export interface EntryMonitorOptions {
  readonly tracker: LivenessTracker;
  /** The other entries that take messages. */
  readonly peers: () => readonly EntryRecord[];
  readonly client: EntryClient;
  /** Called when another entry is checked; the function that it returns takes whether it answered. */
  readonly onAsk: (name: string) => (isAnswered: boolean) => void;
  readonly clock: Clock;
  readonly log: DecisionLog;
}

/** Time between checks of the same entry, in milliseconds. Source: two that fail, the opinions of others and the notices to all take less than five seconds, the age that lists of entries may have, also for a row of entries that is lost at once. */
const CHECK_INTERVAL_MS = 700;

/** Minimum time between the starts of two checks of an entry that doesn't answer, in milliseconds. */
const RECHECK_INTERVAL_MS = 500;

/** Time for the answer to a check, in milliseconds: a lost packet is sent again within it. */
const CHECK_TIMEOUT_MS = 600;

/** Time for the opinion of another entry, in milliseconds: a check, and the way to that entry. */
const OPINION_TIMEOUT_MS = 900;

/** Rounds in which others are asked when none of those asked before answered. */
const ASKING_ROUNDS = 2;

/** Time in which news are gathered before they are told, in milliseconds: the loss of many entries is told in few messages. */
const GATHERING_MS = 100;

/** Monitors other entries. */
export class EntryMonitor {
  readonly #options: EntryMonitorOptions;
  /** When the checks that run or ran last were started, by entry. */
  readonly #startedAtMs = new Map<string, number>();
  readonly #checking = new Set<string>();
  readonly #asking = new Set<string>();
  /** News to be told, by the entry that they are about. */
  readonly #news = new Map<string, LivenessStatement>();
  #isStopped = false;

  constructor(options: EntryMonitorOptions) {
    this.#options = options;
  }

  /** Checks other entries until `stop`. */
  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#isStopped = true;
    this.#options.client.close();
  }

  /** Tells others that this entry is stopping. */
  leave(): void {
    const {tracker} = this.#options;
    tracker.leave();
    this.#tellSoon([tracker.own]);
  }

  /** Draws other entries to be told of news. */
  drawListeners(): readonly EntryRecord[] {
    return this.#options.tracker
      .selectListeners()
      .map(name => this.#findPeer(name))
      .filter(peer => peer !== undefined);
  }

  /** Takes the statements of another entry. Returns the answer; undefined if the message can't be read. */
  onStatements(message: unknown): string | undefined {
    const parsed = statementsSchema.safeParse(message);
    if (!parsed.success) {
      return undefined;
    }
    const {statements} = parsed.data;
    const {tracker} = this.#options;
    this.#believe(statements);
    return serializeStatements([
      ...tracker.listStatements(),
      ...tracker.listCorrections(statements),
    ]);
  }

  /** Checks an entry for another one. Returns the answer; undefined if the message can't be read. */
  async onCheck(message: unknown): Promise<string | undefined> {
    const parsed = checkSchema.safeParse(message);
    if (!parsed.success) {
      return undefined;
    }
    const target = this.#findPeer(parsed.data.target);
    const isReachable = target && (await this.#exchange(target, false));
    return JSON.stringify({isReachable});
  }

  async #run(): Promise<void> {
    while (!this.#isStopped) {
      this.#applyMembers();
      this.#checkTargets();
      await sleep(CHECK_INTERVAL_MS);
    }
  }

  #applyMembers(): void {
    const {tracker, peers, clock} = this.#options;
    const members = peers().map(({name, region, zone, sequence = 0}) => ({
      name,
      region,
      zone,
      sequence,
    }));
    tracker.applyMembers(members, clock.now());
    if (this.#startedAtMs.size > members.length) {
      // Some of them have left; those that stay are at worst checked a little earlier.
      this.#startedAtMs.clear();
    }
  }

  #checkTargets(): void {
    const {tracker, client, clock} = this.#options;
    const targets = tracker
      .selectTargets()
      .map(name => this.#findPeer(name))
      .filter(target => target !== undefined);
    client.retain(targets.map(toAddress));
    const latestStartMs = clock.now() - RECHECK_INTERVAL_MS;
    for (const target of targets) {
      const startedAtMs = this.#startedAtMs.get(target.name) ?? -Infinity;
      if (!this.#checking.has(target.name) && startedAtMs <= latestStartMs) {
        void this.#check(target);
      }
    }
  }

  async #check(target: EntryRecord): Promise<void> {
    const {tracker, clock} = this.#options;
    const {name} = target;
    const startedAtMs = clock.now();
    this.#startedAtMs.set(name, startedAtMs);
    this.#checking.add(name);
    const isAnswered = await this.#exchange(target, true);
    this.#checking.delete(name);
    if (this.#isStopped) {
      return;
    }
    if (isAnswered) {
      tracker.onAnswer(name);
      return;
    }
    const shouldAsk = tracker.onFailure(name, startedAtMs, clock.now());
    // Those behind a silent entry are checked as well, without waiting for the next round.
    this.#checkTargets();
    if (shouldAsk && !this.#asking.has(name)) {
      this.#asking.add(name);
      await this.#askOthers(name);
      this.#asking.delete(name);
    }
  }

  async #askOthers(target: string): Promise<void> {
    const {tracker, clock} = this.#options;
    for (let round = 0; round < ASKING_ROUNDS; round++) {
      const helpers = tracker.selectHelpers(target, clock.now());
      const opinions = new Map<string, LivenessOpinion>();
      const ask = async (name: string) => {
        opinions.set(name, await this.#askOne(name, target));
      };
      await Promise.all(helpers.map(ask));
      this.#conclude(target, opinions);
      const isAnswered = [...opinions.values()].some(
        opinion => opinion !== 'none',
      );
      if (isAnswered || helpers.length === 0) {
        return;
      }
    }
  }

  #conclude(
    target: string,
    opinions: ReadonlyMap<string, LivenessOpinion>,
  ): void {
    const {tracker, clock, log} = this.#options;
    const nowMs = clock.now();
    const silentMs = Math.round(tracker.silentMs(target, nowMs));
    const statement = tracker.onOpinions(target, opinions, nowMs);
    log.record('entry.silent', {
      subject: target,
      silentMs,
      opinions: [...opinions].map(pair => pair.join(':')).join(' '),
      isDown: statement !== undefined,
    });
    if (statement !== undefined) {
      this.#onNews([statement]);
    }
  }

  async #askOne(helper: string, target: string): Promise<LivenessOpinion> {
    const peer = this.#findPeer(helper);
    const answer =
      peer &&
      (await this.#options.client.post({
        address: toAddress(peer),
        path: CHECK_PATH,
        body: JSON.stringify({target}),
        timeoutMs: OPINION_TIMEOUT_MS,
      }));
    const opinion = opinionSchema.safeParse(bodyOf(answer));
    if (!opinion.success || opinion.data.isReachable === undefined) {
      return 'none';
    }
    return opinion.data.isReachable ? 'reachable' : 'unreachable';
  }

  /** Exchanges statements with an entry; returns whether it runs. One of an older build doesn't know the message. */
  async #exchange(peer: EntryRecord, isKept: boolean): Promise<boolean> {
    const {client, tracker} = this.#options;
    const message = {
      address: toAddress(peer),
      path: LIVENESS_PATH,
      body: serializeStatements(tracker.listStatements()),
      timeoutMs: CHECK_TIMEOUT_MS,
    };
    const onAnswer = this.#options.onAsk(peer.name);
    const answer = await (isKept
      ? client.postKept(message)
      : client.post(message));
    onAnswer(answer.kind !== 'silent');
    const parsed = statementsSchema.safeParse(bodyOf(answer));
    if (parsed.success) {
      this.#believe(parsed.data.statements);
    }
    return answer.kind !== 'silent';
  }

  #believe(statements: readonly LivenessStatement[]): void {
    const {tracker, clock} = this.#options;
    const news = statements.filter(statement =>
      tracker.believe(statement, clock.now()),
    );
    this.#onNews(news);
  }

  #onNews(news: readonly LivenessStatement[]): void {
    const {tracker, log} = this.#options;
    const {own} = tracker;
    const told = news.map(statement => {
      const isOwn = statement.name === own.name;
      return isOwn ? own : statement;
    });
    for (const {name, isUp, sequence, reporter} of told) {
      const fields = {subject: name, sequence, reporter};
      if (isUp) {
        log.record('entry.up', fields);
      } else {
        log.record('entry.down', fields);
      }
    }
    this.#tellSoon(told);
  }

  #tellSoon(statements: readonly LivenessStatement[]): void {
    if (this.#news.size === 0 && statements.length > 0) {
      setTimeout(() => this.#tellNews(), GATHERING_MS).unref();
    }
    for (const statement of statements) {
      this.#news.set(statement.name, statement);
    }
  }

  #tellNews(): void {
    const body = serializeStatements([...this.#news.values()]);
    this.#news.clear();
    const {client} = this.#options;
    if (this.#isStopped) {
      return;
    }
    for (const peer of this.drawListeners()) {
      void client.post({
        address: toAddress(peer),
        path: LIVENESS_PATH,
        body,
        timeoutMs: CHECK_TIMEOUT_MS,
      });
    }
  }

  #findPeer(name: string): EntryRecord | undefined {
    return this.#options.peers().find(peer => peer.name === name);
  }
}

function toAddress({feedAddress}: EntryRecord): string {
  return feedAddress ?? '';
}
