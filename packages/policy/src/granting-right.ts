/**
 * The right to grant requests of the accounts of one region. At most one entry
 * has it for an account: the first by hash among those that are up.
 *
 * - It ends by the holder's own clock when no other entry of the region has
 *   answered it for `HOLD_MS`, counted from when it asked, or as soon as the
 *   holder sees that another entry is the first.
 * - The next one begins `SUCCESSION_MS` after it became the first: by then a
 *   former holder that can't be asked has stopped. A former holder that can be
 *   asked hands it over at once.
 * - Once an entry that should be up doesn't answer, the holder grants for the
 *   part of the region only that has answered it.
 *
 * Ages are taken from the clock that counts suspensions, waits from the one
 * that may not, so that neither is too short.
 */

import type {Moment} from '@wasabidyke/shared';
import {GrantingEntryChoice, grantingPart} from './granting-entry.js';

/** Time for which an answer of another entry keeps the right, in milliseconds: two checks of entries, of which one is lost. */
const HOLD_MS = 1_500;

/** Time from becoming the first to granting, in milliseconds. Source: an entry that can't be reached is down 1.6 s after its last answer at the earliest, so that its right has ended for longer than entries differ in what they know. */
const SUCCESSION_MS = 300;

/** Time for which an entry that is no longer the first grants until the next one takes over, in milliseconds: that one asks before it begins. */
export const LEAVING_MS = 800;

/** Time for which the part of an entry stays as it was while more entries are up, in milliseconds: those that were apart learn of each other within it. */
const RAISE_MS = 1_500;

/** Time after which those count that have answered once an entry is silent, in milliseconds: all are asked within it. */
const ROLL_CALL_MS = 250;

/** Time for which former choices are kept, in milliseconds: an entry that left may still hand over while it stops. */
const HISTORY_MS = 8_000;

/** Entries that are asked to hand over the right for an account, at most. */
const HOLDERS = 4;

/** Handed-over rights that are remembered: more than there are accounts in use at one entry. */
const MAXIMUM_REMEMBERED = 20_000;

/** The entries that were up from some moment on. */
interface View {
  readonly entries: readonly string[];
  readonly choice: GrantingEntryChoice;
  readonly fromMs: number;
}

/** Knows for which accounts this entry may grant. */
export class GrantingRight {
  readonly #self: string;
  /** Newest first. */
  #views: View[] = [];
  /** The other entries of the region that are announced. */
  #others: readonly string[] = [];
  /** When those were asked that have answered, on the elapsed clock. */
  readonly #contacts = new Map<string, number>();
  #contactAtMs = -Infinity;
  /** When entries were last found silent that have not answered since, on the steady clock. */
  readonly #silences = new Map<string, number>();
  /** No right begins before this time unless it is handed over, on the steady clock. */
  #notBeforeMs = -Infinity;
  #lapsedAtMs = -Infinity;
  /** When rights were handed over to this entry, by account, on the steady clock. */
  readonly #accepted = new Map<string, number>();
  #isOutOfTouch = false;
  /** When rights were handed over by this entry, by account, on the steady clock. */
  readonly #givenUp = new Map<string, number>();
  /** When former holders were last seen to grant, by account, on the steady clock. */
  readonly #deferred = new Map<string, number>();
  /** Number of entries that are up, this one included also while it isn't announced. */
  #up = 1;
  /** Since when an entry that should be up doesn't answer, on the steady clock. */
  #silentSinceMs: number | undefined;
  /** Part of the share that is granted; undefined before it was first asked for. */
  #part: number | undefined;
  /** Since when a higher part would be right, on the steady clock. */
  #raisedAtMs: number | undefined;

  /** @param self Name of this entry. */
  constructor(self: string) {
    this.#self = self;
  }

  /**
   * Takes what is known of the region.
   * @param up Names of the entries that are up, this one included once it is announced.
   * @param announced Names of all that are announced.
   */
  applyEntries(
    up: readonly string[],
    announced: readonly string[],
    now: Moment,
  ): void {
    const others = announced.filter(name => name !== this.#self);
    if (this.#others.length === 0) {
      // The first others count as heard: none of them has been silent yet.
      this.#contactAtMs = now.elapsedMs;
    }
    this.#others = others;
    for (const byName of [this.#contacts, this.#silences]) {
      for (const name of byName.keys()) {
        if (!others.includes(name)) {
          byName.delete(name);
        }
      }
    }
    this.#applyUp([...up].sort(), now.steadyMs);
    this.#up = up.filter(name => name !== this.#self).length + 1;
    this.update(now);
  }

  /** Records that another entry has answered. @param askedAtMs When it was asked, on the elapsed clock. */
  onContact(name: string, askedAtMs: number, now: Moment): void {
    if (!this.#others.includes(name)) {
      return;
    }
    this.#silences.delete(name);
    const formerMs = this.#contacts.get(name) ?? -Infinity;
    this.#contacts.set(name, Math.max(formerMs, askedAtMs));
    if (askedAtMs > this.#contactAtMs + HOLD_MS) {
      this.#lapse(now);
    }
    this.#contactAtMs = Math.max(this.#contactAtMs, askedAtMs);
  }

  /** Records that another entry did not answer. */
  onSilence(name: string, {steadyMs}: Moment): void {
    if (this.#others.includes(name)) {
      this.#silences.set(name, steadyMs);
    }
  }

  /** Ends the right if no other entry has answered for too long. One of two entries goes on with a part of its own. */
  update(now: Moment): void {
    const isOutOfTouch = !this.#isInTouch(now);
    const isAlone = grantingPart(1, this.#others.length + 1) === 0;
    if (isOutOfTouch && (isAlone || !this.#isOutOfTouch)) {
      this.#lapse(now);
    }
    this.#isOutOfTouch = isOutOfTouch;
  }

  /** The entry that grants for an account and the one that is asked if it doesn't answer. */
  choose(account: string): readonly string[] {
    return this.#views.at(0)?.choice.choose(account) ?? [];
  }

  /** Whether this entry has been the first for so short a time that another one may still have the right. */
  isRecent(account: string, askedAtMs: number, {steadyMs}: Moment): boolean {
    const fromMs = this.#findRun(account)?.fromMs ?? -Infinity;
    const changedAtMs = Math.max(fromMs, this.#lapsedAtMs);
    return changedAtMs >= askedAtMs && steadyMs - changedAtMs < HISTORY_MS;
  }

  /** The entries that may hold the right for an account of which this one is the first. */
  listHolders(account: string): readonly string[] {
    const firsts = this.#views.map(({choice}) => choice.choose(account).at(0));
    const holders = new Set([...firsts, ...this.choose(account)]);
    holders.delete(this.#self);
    return [...holders].filter(name => name !== undefined).slice(0, HOLDERS);
  }

  /**
   * When the right for an account began, on the steady clock; undefined if this
   * entry doesn't have it. It has it a little longer than it is the first, so
   * that the next one can take over.
   */
  findSince(account: string, now: Moment): number | undefined {
    this.update(now);
    const run = this.#findRun(account);
    if (run === undefined || run.toMs <= now.steadyMs - LEAVING_MS) {
      return undefined;
    }
    const givenUpAtMs = this.#givenUp.get(account) ?? -Infinity;
    const acceptedAtMs = this.#accepted.get(account) ?? -Infinity;
    const isValid =
      acceptedAtMs > givenUpAtMs && acceptedAtMs > this.#lapsedAtMs;
    if (isValid && acceptedAtMs >= run.fromMs) {
      return acceptedAtMs;
    }
    if (givenUpAtMs >= run.fromMs) {
      return undefined;
    }
    const sinceMs = this.#toBeginMs(account, run.fromMs);
    return sinceMs <= Math.min(now.steadyMs, run.toMs) ? sinceMs : undefined;
  }

  /** Takes a right that its former holder hands over; ignored if this entry is not the first. */
  accept(account: string, now: Moment): void {
    if (this.choose(account).at(0) === this.#self && this.#isInTouch(now)) {
      remember(this.#accepted, account, now.steadyMs);
    }
  }

  /** Hands a right over: this entry has it again only once it has become the first again, or is given it. */
  giveUp(account: string, {steadyMs}: Moment): void {
    remember(this.#givenUp, account, steadyMs);
  }

  /** Waits anew for the right: its former holder has just granted by it. */
  defer(account: string, {steadyMs}: Moment): void {
    remember(this.#deferred, account, steadyMs);
  }

  /** Time until the right for an account begins unless it is handed over, in milliseconds. */
  remainingMs(account: string, {steadyMs}: Moment): number {
    const fromMs = this.#findRun(account)?.fromMs ?? steadyMs;
    return Math.max(0, this.#toBeginMs(account, fromMs) - steadyMs);
  }

  /** Part of the region's share that this entry may grant, from 0 to 1. A lower part holds at once, a higher one after a time. */
  part(now: Moment): number {
    const {steadyMs} = now;
    const part = this.#reachedPart(now);
    if (this.#part === undefined || part <= this.#part) {
      this.#part = part;
      this.#raisedAtMs = undefined;
    } else {
      this.#raisedAtMs ??= steadyMs;
      if (steadyMs - this.#raisedAtMs >= RAISE_MS) {
        this.#part = part;
        this.#raisedAtMs = undefined;
      }
    }
    return this.#part;
  }

  /** Whether an entry that is up, as far as this one knows, has just not answered. */
  hasSilent({steadyMs}: Moment): boolean {
    const up = this.#views.at(0)?.entries ?? [];
    return [...this.#silences].some(
      ([name, atMs]) => steadyMs - atMs <= HOLD_MS && up.includes(name),
    );
  }

  /** The other entries that have not answered for a time. */
  listUnheard(forMs: number, {elapsedMs}: Moment): readonly string[] {
    return this.#others.filter(
      name => elapsedMs - (this.#contacts.get(name) ?? -Infinity) > forMs,
    );
  }

  /** Whether some other entry has answered within a time. */
  hasHeard(withinMs: number, {elapsedMs}: Moment): boolean {
    return (
      this.#others.length === 0 || elapsedMs - this.#contactAtMs <= withinMs
    );
  }

  #countReached({elapsedMs}: Moment): number {
    return [...this.#contacts.values()].filter(
      askedAtMs => elapsedMs - askedAtMs <= HOLD_MS,
    ).length;
  }

  #isInTouch(now: Moment): boolean {
    return this.hasHeard(HOLD_MS, now);
  }

  #lapse({steadyMs}: Moment): void {
    this.#lapsedAtMs = steadyMs;
    this.#notBeforeMs = steadyMs + SUCCESSION_MS;
  }

  #toBeginMs(account: string, firstSinceMs: number): number {
    const deferredAtMs = this.#deferred.get(account) ?? -Infinity;
    const waitsFromMs = Math.max(firstSinceMs, deferredAtMs);
    return Math.max(waitsFromMs + SUCCESSION_MS, this.#notBeforeMs);
  }

  /** The last time in which this entry was the first; it ends at `toMs`. */
  #findRun(account: string): {fromMs: number; toMs: number} | undefined {
    let fromMs: number | undefined;
    let toMs = Infinity;
    for (const view of this.#views) {
      if (view.choice.choose(account).at(0) === this.#self) {
        fromMs = view.fromMs;
      } else if (fromMs !== undefined) {
        break;
      } else {
        toMs = view.fromMs;
      }
    }
    return fromMs === undefined ? undefined : {fromMs, toMs};
  }

  #applyUp(entries: readonly string[], nowMs: number): void {
    const newest = this.#views.at(0);
    if (newest?.entries.join('\n') !== entries.join('\n')) {
      const choice = new GrantingEntryChoice();
      choice.applyEntries(entries);
      this.#views.unshift({entries, choice, fromMs: nowMs});
    }
    // The oldest one that is kept was in force at the beginning of the time that counts.
    const oldest = this.#views.findIndex(
      ({fromMs}) => fromMs <= nowMs - HISTORY_MS,
    );
    if (oldest !== -1) {
      this.#views.length = oldest + 1;
    }
  }

  #reachedPart(now: Moment): number {
    const size = this.#others.length + 1;
    const part = grantingPart(this.#up, size);
    const hasSilent = this.hasSilent(now);
    if (!hasSilent) {
      this.#silentSinceMs = undefined;
    } else {
      this.#silentSinceMs ??= now.steadyMs;
    }
    const silentMs = now.steadyMs - (this.#silentSinceMs ?? Infinity);
    return this.#isInTouch(now) && !(silentMs >= ROLL_CALL_MS)
      ? part
      : Math.min(part, grantingPart(1 + this.#countReached(now), size));
  }
}

function remember(
  times: Map<string, number>,
  account: string,
  atMs: number,
): void {
  if (times.size >= MAXIMUM_REMEMBERED) {
    times.clear();
  }
  times.set(account, atMs);
}
