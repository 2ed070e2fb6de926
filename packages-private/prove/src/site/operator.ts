/** An operator: submits manifests, and again where the outcome is unknown. */

import {setTimeout as sleep} from 'node:timers/promises';
import type {Manifest} from '@wasabidyke/manifest';
import type {HistoryRecorder} from '@wasabidyke/stand-ins';
import {request} from 'undici';
import {z} from 'zod';

const ATTEMPT_TIMEOUT_MS = 5_000;
const ATTEMPTS = 20;
const PAUSE_MS = 250;

const answerSchema = z.union([
  z.object({
    outcome: z.enum(['accepted', 'already-accepted']),
    revision: z.int(),
  }),
  z.object({outcome: z.literal('superseded'), presentRevision: z.int()}),
  z.object({outcome: z.literal('rejected'), findings: z.array(z.unknown())}),
  z.object({outcome: z.literal('unknown')}),
]);

/** A manifest to submit. */
export interface Submission {
  readonly submission: string;
  readonly basedOn: number;
  readonly manifest: Manifest;
}

/** What became of a submission; undefined where nobody could say. */
export type SubmissionEnd =
  | {readonly isAccepted: true; readonly revision: number}
  | {readonly isAccepted: false; readonly revision: number | null}
  | undefined;

/** Submits manifests to entries in turn. */
export class Operator {
  readonly #addresses: readonly string[];
  readonly #history: HistoryRecorder;

  /** @param addresses Operators' addresses of the entries, the first to ask first. */
  constructor(addresses: readonly string[], history: HistoryRecorder) {
    this.#addresses = addresses;
    this.#history = history;
  }

  /** Submits until the outcome is known. */
  async submit(submission: Submission): Promise<SubmissionEnd> {
    let end: SubmissionEnd;
    for (let sent = 0; sent < ATTEMPTS && end === undefined; sent++) {
      const address = this.#addresses[sent % this.#addresses.length];
      end = await this.#attempt(address, submission);
      if (end === undefined) {
        await sleep(PAUSE_MS);
      }
    }
    this.#record(submission, end);
    return end;
  }

  async #attempt(
    address: string,
    {submission, basedOn, manifest}: Submission,
  ): Promise<SubmissionEnd> {
    const body = JSON.stringify(manifest);
    let content: unknown;
    try {
      const answer = await request(`http://${address}/v1/manifest`, {
        method: 'POST',
        headers: {'content-type': 'application/json'},
        body: JSON.stringify({submission, basedOn, body}),
        signal: AbortSignal.timeout(ATTEMPT_TIMEOUT_MS),
      });
      content = await answer.body.json();
    } catch {
      return undefined;
    }
    const parsed = answerSchema.safeParse(content);
    return parsed.success ? toEnd(parsed.data) : undefined;
  }

  #record({submission, basedOn}: Submission, end: SubmissionEnd): void {
    const isAccepted = end?.isAccepted ?? false;
    const answer =
      end === undefined ? 'unknown' : isAccepted ? 'accepted' : 'refused';
    this.#history.record({
      kind: 'submission-answered',
      submission,
      basedOn,
      answer,
      revision: end?.revision ?? null,
    });
  }
}

function toEnd(answer: z.infer<typeof answerSchema>): SubmissionEnd {
  switch (answer.outcome) {
    case 'accepted':
    case 'already-accepted':
      return {isAccepted: true, revision: answer.revision};
    case 'superseded':
      return {isAccepted: false, revision: answer.presentRevision};
    case 'rejected':
      throw new Error(`Manifest rejected: ${JSON.stringify(answer.findings)}`);
    case 'unknown':
      return undefined;
  }
}
