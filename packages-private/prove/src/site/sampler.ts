/** Samples what entries say of themselves: the revision in force, and upstreams that leave. */

import type {HistoryRecorder} from '@wasabidyke/stand-ins';
import {request} from 'undici';
import {z} from 'zod';
import {toOperatorAddress, type EntryPlace} from './layout.js';

const PERIOD_MS = 200;
const TIMEOUT_MS = 1_000;

/** States in which an entry knows that an upstream leaves. */
const LEAVING_STATES: ReadonlySet<string> = new Set(['draining', 'gone']);

const statusSchema = z.object({incarnation: z.string(), revision: z.int()});
const upstreamsSchema = z.object({
  upstreams: z.array(z.object({name: z.string(), state: z.string()})),
});

/** Samples every entry until it is stopped. */
export class Sampler {
  readonly #entries: readonly EntryPlace[];
  readonly #history: HistoryRecorder;
  /** Workers whose departure is awaited from the VM list. */
  readonly #awaited = new Set<string>();
  readonly #underWay = new Set<string>();
  #timer: NodeJS.Timeout | undefined;

  constructor(entries: readonly EntryPlace[], history: HistoryRecorder) {
    this.#entries = entries;
    this.#history = history;
  }

  /** Begins to sample. */
  start(): void {
    this.#timer = setInterval(() => {
      for (const entry of this.#entries) {
        void this.#sampleOnce(entry);
      }
    }, PERIOD_MS);
  }

  /** Ends sampling. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /** Records the departure of a worker once any entry knows of it. */
  awaitDeparture(worker: string): void {
    this.#awaited.add(worker);
  }

  /** One sample of an entry at a time, so that answers keep their order. */
  async #sampleOnce(entry: EntryPlace): Promise<void> {
    if (this.#underWay.has(entry.name)) {
      return;
    }
    this.#underWay.add(entry.name);
    await this.#sample(entry);
    this.#underWay.delete(entry.name);
  }

  async #sample(entry: EntryPlace): Promise<void> {
    const status = await this.#read(entry, '/v1/status', statusSchema);
    this.#history.record({
      kind: 'revision-seen',
      entry: entry.name,
      incarnation: status?.incarnation ?? '',
      revision: status?.revision ?? null,
    });
    if (this.#awaited.size > 0) {
      await this.#sampleDepartures(entry);
    }
  }

  async #sampleDepartures(entry: EntryPlace): Promise<void> {
    const list = await this.#read(entry, '/v1/upstreams', upstreamsSchema);
    for (const {name, state} of list?.upstreams ?? []) {
      if (LEAVING_STATES.has(state) && this.#awaited.delete(name)) {
        const way = 'vm-list';
        this.#history.record({kind: 'leaving-told', worker: name, way});
      }
    }
  }

  async #read<Schema extends z.ZodType>(
    entry: EntryPlace,
    path: string,
    schema: Schema,
  ): Promise<z.infer<Schema> | undefined> {
    try {
      const url = `http://${toOperatorAddress(entry)}${path}`;
      const signal = AbortSignal.timeout(TIMEOUT_MS);
      const answer = await request(url, {signal});
      return schema.parse(await answer.body.json());
    } catch {
      return undefined;
    }
  }
}
