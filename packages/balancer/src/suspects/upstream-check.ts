/**
 * Finds out whether an upstream has crashed or whether only this entry doesn't
 * reach it, by asking other entries.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import * as z from 'zod/mini';
import {bodyOf, type EntryClient} from '../feed/entry-client.js';
import type {EntryRecord} from '../members/entry-record.js';
import type {UpstreamHandle} from '../members/upstream-handle.js';
import type {UpstreamRegistry} from '../members/upstream-registry.js';
import type {DecisionLog} from '../reporting/decision-log.js';

/** Path at which an entry checks an upstream for another one. */
export const UPSTREAM_CHECK_PATH = '/v1/upstream-check';

/** Maximum size of a message, in bytes: the id of an upstream. */
export const MAXIMUM_UPSTREAM_CHECK_BYTES = 4_096;

/** Options of `UpstreamCheck`. */
export interface UpstreamCheckOptions {
  readonly registry: () => UpstreamRegistry;
  /** Path of load queries to the upstreams of a service. */
  readonly loadPath: (service: string) => string;
  /** The other entries that take messages and are up. */
  readonly peers: () => readonly EntryRecord[];
  readonly client: EntryClient;
  readonly log: DecisionLog;
}

/** What an entry says of an upstream: `unsure` if it reaches no other one either. */
const opinionSchema = z.object({
  opinion: z.enum(['running', 'crashed', 'unsure']),
});

/** What an entry says of an upstream. */
type UpstreamOpinion = z.infer<typeof opinionSchema>['opinion'];

const messageSchema = z.object({upstream: z.string()});

/** Entries asked: some may have lost their links as well. */
const HELPERS = 3;

/** Other upstreams that are checked to find out whether this entry's own links work. */
const OTHER_UPSTREAMS = 2;

/** Time after which other entries are asked while this one still waits for its own answer, in milliseconds: several round trips between regions. */
const PATIENCE_MS = 300;

/** Time for the opinion of another entry, in milliseconds: a load query that isn't answered, another one, and the way to that entry. */
const OPINION_TIMEOUT_MS = 2_500;

/** Checks upstreams, and answers other entries that ask. */
export class UpstreamCheck {
  readonly #options: UpstreamCheckOptions;
  readonly #running = new Map<UpstreamHandle, Promise<boolean>>();

  constructor(options: UpstreamCheckOptions) {
    this.#options = options;
  }

  /** Whether the process that a handle stands for has ended. Concurrent calls share one check. */
  hasCrashed(handle: UpstreamHandle): Promise<boolean> {
    const running = this.#running.get(handle);
    if (running !== undefined) {
      return running;
    }
    const check = this.#check(handle).finally(() =>
      this.#running.delete(handle),
    );
    this.#running.set(handle, check);
    return check;
  }

  /** Checks an upstream for another entry. Returns the answer; undefined if the message can't be read. */
  async onMessage(message: unknown): Promise<string | undefined> {
    const parsed = messageSchema.safeParse(message);
    if (!parsed.success) {
      return undefined;
    }
    const handle = this.#options.registry().find(parsed.data.upstream);
    const opinion = handle === undefined ? 'unsure' : await this.#see(handle);
    return JSON.stringify({opinion});
  }

  async #check(handle: UpstreamHandle): Promise<boolean> {
    const ownView = this.#isAlive(handle);
    if (
      await Promise.race([ownView, sleep(PATIENCE_MS, false, {ref: false})])
    ) {
      this.#logResult(handle, true, []);
      return false;
    }
    const opinions = await Promise.all(
      this.#selectHelpers().map(peer => this.#ask(peer, handle)),
    );
    const isRunning =
      (await ownView) ||
      opinions.includes('running') ||
      (!opinions.includes('crashed') && !(await this.#reachesAnother(handle)));
    this.#logResult(handle, isRunning, opinions);
    return !isRunning;
  }

  #logResult(
    {record}: UpstreamHandle,
    isRunning: boolean,
    opinions: readonly UpstreamOpinion[],
  ): void {
    this.#options.log.record('upstream.checked', {
      upstream: record.id,
      service: record.service,
      opinions: opinions.join(' '),
      isRunning,
    });
  }

  async #see(handle: UpstreamHandle): Promise<UpstreamOpinion> {
    if (await this.#isAlive(handle)) {
      return 'running';
    }
    return (await this.#reachesAnother(handle)) ? 'crashed' : 'unsure';
  }

  /** Whether this entry reaches another upstream, or knows none that it could try. */
  async #reachesAnother(handle: UpstreamHandle): Promise<boolean> {
    const others = this.#options
      .registry()
      .listNearest(OTHER_UPSTREAMS + 1)
      .filter(other => other !== handle)
      .slice(0, OTHER_UPSTREAMS);
    const alive = await Promise.all(others.map(other => this.#isAlive(other)));
    return others.length === 0 || alive.includes(true);
  }

  #isAlive(handle: UpstreamHandle): Promise<boolean> {
    return handle.isAlive(this.#options.loadPath(handle.record.service));
  }

  /** The helpers are spread over all entries: those next to each other often lose their links together. */
  #selectHelpers(): readonly EntryRecord[] {
    const peers = this.#options.peers();
    const step = Math.max(1, Math.floor(peers.length / HELPERS));
    return peers.filter((_, index) => index % step === 0).slice(0, HELPERS);
  }

  async #ask(
    {feedAddress}: EntryRecord,
    handle: UpstreamHandle,
  ): Promise<UpstreamOpinion> {
    const answer = await this.#options.client.post({
      address: feedAddress ?? '',
      path: UPSTREAM_CHECK_PATH,
      body: JSON.stringify({upstream: handle.id}),
      timeoutMs: OPINION_TIMEOUT_MS,
    });
    const parsed = opinionSchema.safeParse(bodyOf(answer));
    return parsed.success ? parsed.data.opinion : 'unsure';
  }
}
