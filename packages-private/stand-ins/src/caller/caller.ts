/** A caller, written from the interface for callers alone. */

import {createHash} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import type {RandomSource} from '@wasabidyke/policy';
import {SECOND_MS} from '@wasabidyke/shared';
import type {Dispatcher} from 'undici';
import type {HistoryRecorder} from '../history/index.js';
import type {EntryList, KeptList, ListedEntry} from './entry-list.js';
import {exchange, type AttemptResult} from './exchange.js';
import type {PlannedRequest} from './plan.js';

/** How much longer than the stated timeout the caller waits. */
const PATIENCE_MS = 2_000;
const BACK_OFF_MS = 50;
const MAXIMUM_BACK_OFF_MS = 1_000;
const SHARE_RESOLUTION = 1_000;

/** One request as it is sent, again where need be. */
interface Errand {
  readonly request: string;
  readonly key: string | null;
  readonly body: Buffer;
  attempt: number;
}

/** What a caller works with. */
export interface CallerParts {
  readonly dispatcher: Dispatcher;
  readonly entryList: EntryList;
  readonly history: HistoryRecorder;
  readonly random: RandomSource;
  readonly spreadShare: number;
}

/** Sends the requests of a plan. */
export class Caller {
  readonly #parts: CallerParts;

  constructor(parts: CallerParts) {
    this.#parts = parts;
  }

  /** Sends a request, again as often as its plan allows. */
  async send(planned: PlannedRequest): Promise<void> {
    let errand: Errand | undefined;
    let isDone = false;
    let duplicate: Promise<AttemptResult> | undefined;
    for (let sent = 0; sent < planned.attempts && !isDone; sent++) {
      const list = await this.#parts.entryList.get();
      if (list === undefined) {
        continue;
      }
      const entry = this.#pick(list);
      errand ??= createErrand(planned, entry, sent);
      if (planned.isDuplicated && errand.attempt === 0) {
        duplicate = this.#attempt(planned, errand, this.#pick(list), list);
      }
      const result = await this.#attempt(planned, errand, entry, list);
      isDone = isFinal(result, planned) && !this.#isToResend(planned, errand);
      if (!isDone) {
        await this.#backOff(result, sent, planned.pauseMs);
        errand = isToBeginAnew(result, planned) ? undefined : errand;
      }
    }
    await duplicate;
  }

  #isToResend(planned: PlannedRequest, errand: Errand): boolean {
    return planned.isResentAfterAnswer && errand.attempt === 1;
  }

  async #attempt(
    planned: PlannedRequest,
    errand: Errand,
    entry: ListedEntry,
    list: KeptList,
  ): Promise<AttemptResult> {
    errand.attempt += 1;
    const {attempt, request, key} = errand;
    const {history, dispatcher} = this.#parts;
    const {service, rule} = planned;
    const base = {request, key, attempt, entry: entry.name, service};
    const isListFresh = performance.now() < list.expiresAtMs;
    const requestDigest = createHash('sha256')
      .update(errand.body)
      .digest('hex');
    const sent = {...base, rule, requestDigest, isListFresh};
    history.record({kind: 'attempt-sent', ...sent});
    const result = await exchange(dispatcher, {
      url: toUrl(planned, request, entry),
      method: planned.method,
      headers: toHeaders(planned, errand),
      body: errand.body,
      uploadMs: planned.uploadMs,
      signal: AbortSignal.timeout(toPatienceMs(planned, attempt)),
    });
    history.record({kind: 'attempt-ended', ...base, ...result});
    return result;
  }

  #pick(list: KeptList): ListedEntry {
    const {random, spreadShare} = this.#parts;
    const drawn = random.nextBelow(SHARE_RESOLUTION) / SHARE_RESOLUTION;
    const position =
      drawn < spreadShare ? random.nextBelow(list.entries.length) : 0;
    return list.entries[position];
  }

  async #backOff(
    result: AttemptResult,
    sent: number,
    pauseMs: number,
  ): Promise<void> {
    const askedMs = (result.retryAfterSeconds ?? 0) * SECOND_MS;
    const ownMs = BACK_OFF_MS * 2 ** sent;
    const delayMs = Math.min(Math.max(askedMs, ownMs), MAXIMUM_BACK_OFF_MS);
    await sleep(Math.max(delayMs, pauseMs));
  }
}

function createErrand(
  planned: PlannedRequest,
  entry: ListedEntry,
  sent: number,
): Errand {
  const isSame = sent === 0 || planned.isSameAgain;
  const request = isSame ? planned.request : `${planned.request}-${sent + 1}`;
  return {
    request,
    key: planned.rule === 'at-most-once' ? `${entry.home}:${request}` : null,
    body: createBody(planned),
    attempt: 0,
  };
}

function createBody(planned: PlannedRequest): Buffer {
  return Buffer.alloc(planned.bodyBytes, `${planned.request}.`);
}

function toUrl(
  planned: PlannedRequest,
  request: string,
  entry: ListedEntry,
): string {
  const query = new URLSearchParams({
    request,
    size: String(planned.payloadBytes),
  });
  if (planned.workMs !== undefined) {
    query.set('workMs', String(planned.workMs));
  }
  if (planned.ending !== undefined) {
    query.set('endsAfterMs', String(planned.ending.afterMs));
    query.set('endsWithinAnswer', String(planned.ending.isWithinAnswer));
  }
  const path = `${planned.service}${planned.path}`;
  return `http://${entry.address}/${path}?${query.toString()}`;
}

function toHeaders(
  planned: PlannedRequest,
  errand: Errand,
): Record<string, string> {
  const headers: Record<string, string> = {
    'wasabidyke-attempt': String(errand.attempt),
    'wasabidyke-timeout-ms': String(planned.timeoutMs),
  };
  if (errand.key !== null) {
    headers['idempotency-key'] = errand.key;
  }
  return headers;
}

function toPatienceMs(planned: PlannedRequest, attempt: number): number {
  const isGivenUp =
    planned.cancelAfterMs !== undefined &&
    (attempt === 1 || planned.isSameAgain);
  return isGivenUp
    ? (planned.cancelAfterMs ?? 0)
    : planned.timeoutMs + planned.uploadMs + PATIENCE_MS;
}

function isFinal(result: AttemptResult, planned: PlannedRequest): boolean {
  const isSystemAnswer = result.outcome !== null && result.outcome !== 'ran';
  return result.end === 'answered' && !isSystemAnswer && !planned.isSameAgain;
}

/** An idempotent request is always sent as a new one; another only where it was not run. */
function isToBeginAnew(
  result: AttemptResult,
  planned: PlannedRequest,
): boolean {
  if (planned.isSameAgain) {
    return false;
  }
  const isNotRun = result.outcome === 'not-run' || result.end === 'refused';
  return planned.rule !== 'at-most-once' || isNotRun;
}
