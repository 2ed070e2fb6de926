/** The caller's list of entries, kept no longer than its stated age. */

import {SECOND_MS} from '@wasabidyke/shared';
import {request, type Dispatcher} from 'undici';
import {z} from 'zod';

const LIST_TIMEOUT_MS = 1_000;
const RETRY_MS = 100;

const entryListSchema = z.object({
  entries: z.array(
    z.object({name: z.string(), address: z.string(), home: z.string()}),
  ),
  maximumAgeSeconds: z.number().min(0),
});

/** An entry as the list names it. */
export type ListedEntry = z.infer<typeof entryListSchema>['entries'][number];

/** A list with the time until which it may be kept. */
export interface KeptList {
  readonly entries: readonly ListedEntry[];
  readonly receivedAtMs: number;
  readonly expiresAtMs: number;
}

/** Keeps the list of entries. */
export class EntryList {
  readonly #dispatcher: Dispatcher;
  readonly #bootstrap: readonly string[];
  readonly #keptShare: number;
  #kept: KeptList | undefined;
  #asking: Promise<KeptList | undefined> | undefined;

  /** @param keptShare Share of its stated age for which a list is kept. */
  constructor(
    dispatcher: Dispatcher,
    bootstrap: readonly string[],
    keptShare: number,
  ) {
    this.#dispatcher = dispatcher;
    this.#bootstrap = bootstrap;
    this.#keptShare = keptShare;
  }

  /** A list of its stated age, or undefined when none could be had. */
  async get(): Promise<KeptList | undefined> {
    if (this.#kept !== undefined && !this.#isDue(this.#kept)) {
      return this.#kept;
    }
    this.#asking ??= this.#ask().finally(() => (this.#asking = undefined));
    this.#kept = (await this.#asking) ?? this.#dropExpired();
    return this.#kept;
  }

  #isDue(kept: KeptList): boolean {
    const ageMs = kept.expiresAtMs - kept.receivedAtMs;
    return performance.now() >= kept.receivedAtMs + ageMs * this.#keptShare;
  }

  #dropExpired(): KeptList | undefined {
    const kept = this.#kept;
    const isExpired = performance.now() >= (kept?.expiresAtMs ?? 0);
    return isExpired ? undefined : kept;
  }

  async #ask(): Promise<KeptList | undefined> {
    const known = this.#kept?.entries.map(({address}) => address) ?? [];
    for (const address of new Set([...known, ...this.#bootstrap])) {
      const list = await this.#askEntry(address);
      if (list !== undefined) {
        return list;
      }
    }
    await new Promise(resolve => setTimeout(resolve, RETRY_MS));
    return undefined;
  }

  async #askEntry(address: string): Promise<KeptList | undefined> {
    const askedAtMs = performance.now();
    try {
      const answer = await request(`http://${address}/v1/entries`, {
        dispatcher: this.#dispatcher,
        signal: AbortSignal.timeout(LIST_TIMEOUT_MS),
      });
      const list = entryListSchema.parse(await answer.body.json());
      return answer.statusCode === 200 && list.entries.length > 0
        ? toKeptList(list, askedAtMs)
        : undefined;
    } catch {
      return undefined;
    }
  }
}

function toKeptList(
  list: z.infer<typeof entryListSchema>,
  askedAtMs: number,
): KeptList {
  return {
    entries: list.entries,
    receivedAtMs: askedAtMs,
    expiresAtMs: askedAtMs + list.maximumAgeSeconds * SECOND_MS,
  };
}
