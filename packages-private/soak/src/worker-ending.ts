/** When in the life of a request, and how, it ends the worker that runs it. The path of the request tells. */

import type {ServerResponse} from 'node:http';
import type {RandomSource} from '@wasabidyke/policy';

/** What the worker does before it ends. */
const FIRST_ACTS = [
  'nothing',
  /** It writes the head and a part of the body, with a length. */
  'part',
  /** The same in chunks. */
  'chunk',
  /** It writes a head without its seal, so that the entry breaks off. */
  'unsigned',
  /** It answers nothing more, whoever asks. */
  'silence',
] as const;

/** How a request ends its worker. */
export interface WorkerEnding {
  readonly firstAct: (typeof FIRST_ACTS)[number];
  /** Time from the begin of the run to the end, in milliseconds. */
  readonly endsAfterMs: number;
}

/** Part of the paths of requests that crash each worker that begins to run them. */
export const CRASHING_PATH = 'crashing-';

/** Longest run before an end, and the time of silence before it, in milliseconds: the silence is longer than callers wait. */
const LONGEST_RUN_MS = 400;
const SILENCE_MS = 3_000;

/** Each third request ends its workers at once. */
const AT_ONCE_ONE_IN = 3;

const ENDING_PATTERN = /crashing-([a-z]+)-(\d+)-/;

/** Draws an ending. */
export function drawEnding(random: RandomSource): WorkerEnding {
  const firstAct = FIRST_ACTS[random.nextBelow(FIRST_ACTS.length)];
  const isAtOnce = random.nextBelow(AT_ONCE_ONE_IN) === 0;
  const runMs = random.nextBelow(LONGEST_RUN_MS);
  if (firstAct === 'silence') {
    return {firstAct, endsAfterMs: SILENCE_MS};
  }
  return {firstAct, endsAfterMs: isAtOnce ? 0 : runMs};
}

/** Returns the part of a path that tells of an ending. */
export function toEndingPath({firstAct, endsAfterMs}: WorkerEnding): string {
  return `${CRASHING_PATH}${firstAct}-${endsAfterMs}-`;
}

/** The ending that a path tells of; undefined if the request ends no worker. */
export function readEnding(path: string): WorkerEnding | undefined {
  const match = ENDING_PATTERN.exec(path);
  const firstAct = FIRST_ACTS.find(act => act === match?.[1]);
  return match === null || firstAct === undefined
    ? undefined
    : {firstAct, endsAfterMs: Number(match[2])};
}

/** Writes what the worker answers before it ends. */
export function writeFirst(
  {firstAct}: WorkerEnding,
  response: ServerResponse,
  answer: string,
): void {
  if (firstAct === 'nothing' || firstAct === 'silence') {
    return;
  }
  if (firstAct === 'unsigned') {
    response.removeHeader('Wasabidyke-Server-Seal');
  }
  if (firstAct !== 'chunk') {
    response.setHeader('Content-Length', Buffer.byteLength(answer));
  }
  response.write(answer.slice(0, answer.length / 2));
}
