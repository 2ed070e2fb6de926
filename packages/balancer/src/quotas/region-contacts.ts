/**
 * Knows which other entries of the region this one reaches: an entry may grant
 * quotas only while others answer it. The checks of entries and the queries for
 * quotas tell most of it; entries are asked in addition only when those don't
 * tell enough.
 */

import type {RandomSource} from '@wasabidyke/policy';
import type {Moment} from '@wasabidyke/shared';
import type {EntryClient} from '../feed/entry-client.js';
import {QUOTA_PATH, serializeQuotaQuery} from './quota-messages.js';
import type {QuotaMembers} from './quota-members.js';

/** Options of `RegionContacts`. */
export interface RegionContactsOptions {
  readonly members: QuotaMembers;
  readonly client: EntryClient;
  readonly random: RandomSource;
  readonly now: () => Moment;
}

/** Time between two rounds of questions, in milliseconds: that between checks of the same entry. */
const ROUND_MS = 700;

/** Time for an answer, in milliseconds: a lost packet is sent again within it. */
const ANSWER_TIMEOUT_MS = 600;

/** Time without an answer of any entry after which some are asked, in milliseconds: longer than between two checks, and early enough for an answer before the right to grant ends. */
const UNHEARD_MS = 900;

/** Time for which an account that asked for more than its share counts, in milliseconds. */
const CONTESTED_MS = 1_000;

/** Entries that are asked in a round while all of them answer: if half of them can't be reached, one of these finds out. */
const SAMPLE = 6;

/** Entries that are asked when none has answered for a while: one of them may be lost. */
const UNHEARD_SAMPLE = 2;

/** Keeps in touch with the other entries of the region. */
export class RegionContacts {
  readonly #options: RegionContactsOptions;
  #contestedAtMs = -Infinity;
  #nextRoundAtMs = -Infinity;

  constructor(options: RegionContactsOptions) {
    this.#options = options;
  }

  /** Called when another entry is asked something; the function that it returns takes whether it answered. */
  onAsk(name: string): (isAnswered: boolean) => void {
    const {now, members} = this.#options;
    const {elapsedMs: askedAtMs} = now();
    return isAnswered => {
      const {right} = members;
      if (isAnswered) {
        right.onContact(name, askedAtMs, now());
        return;
      }
      const knewSilent = right.hasSilent(now());
      right.onSilence(name, now());
      if (!knewSilent) {
        this.#nextRoundAtMs = -Infinity;
      }
    };
  }

  /** Called when an account asks for more than its share: it matters then who else may grant. */
  onContested(): void {
    this.#contestedAtMs = this.#options.now().steadyMs;
  }

  /** Asks those entries that should be heard from. */
  onTick(): void {
    const now = this.#options.now();
    if (now.steadyMs < this.#nextRoundAtMs) {
      return;
    }
    const names = this.#select(now);
    if (names.length > 0) {
      this.#nextRoundAtMs = now.steadyMs + ROUND_MS;
      names.forEach(name => void this.#ask(name));
    }
  }

  #select(now: Moment): readonly string[] {
    const {right} = this.#options.members;
    const unheard = right.listUnheard(ROUND_MS / 2, now);
    if (right.hasSilent(now)) {
      return unheard;
    }
    const isContested = now.steadyMs - this.#contestedAtMs < CONTESTED_MS;
    if (isContested) {
      return this.#draw(unheard, SAMPLE);
    }
    const isHeard = right.hasHeard(UNHEARD_MS, now);
    return isHeard ? [] : this.#draw(unheard, UNHEARD_SAMPLE);
  }

  async #ask(name: string): Promise<void> {
    const {members, client} = this.#options;
    const address = members.addressOf(name);
    if (address === undefined) {
      return;
    }
    const onAnswer = this.onAsk(name);
    const answer = await client.post({
      address,
      path: QUOTA_PATH,
      body: serializeQuotaQuery({asks: []}),
      timeoutMs: ANSWER_TIMEOUT_MS,
    });
    onAnswer(answer.kind !== 'silent');
  }

  #draw(names: readonly string[], count: number): readonly string[] {
    const rest = [...names];
    const drawn: string[] = [];
    while (drawn.length < count && rest.length > 0) {
      drawn.push(
        ...rest.splice(this.#options.random.nextBelow(rest.length), 1),
      );
    }
    return drawn;
  }
}
