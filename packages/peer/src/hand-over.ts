/** Hands ledger records over to a successor, in bounded messages. */

import {Err, Ok, type Result} from '@wasabidyke/shared';
import {toChunks, toWireRecord, type LedgerRecord} from './ledger-record.js';
import type {PeerClients, PeerError, PeerTarget} from './peer-clients.js';
import type {SenderFields} from './reconciler.js';

/** What a successor acknowledged. */
export interface HandOverAnswer {
  /** Keys that the successor answers for from now on. */
  readonly acceptedKeys: ReadonlySet<string>;
}

/** Where and from whom records are handed over. */
export interface HandOverOptions {
  readonly clients: PeerClients;
  readonly sender: SenderFields;
  readonly target: PeerTarget;
  /** Limit of time for each message, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Hands records over. An error means that none or only some of the messages were
 * acknowledged; sending the same records again does no harm.
 */
export async function handOverRecords(
  records: readonly LedgerRecord[],
  {clients, sender, target, timeoutMs}: HandOverOptions,
): Promise<Result<HandOverAnswer, PeerError>> {
  const acceptedKeys = new Set<string>();
  for (const chunk of toChunks(records)) {
    const request = {sender, records: chunk.map(toWireRecord)};
    const answer = await clients.call(
      target,
      'hand-over',
      timeoutMs,
      (client, options) => client.handOver(request, options),
    );
    if (answer.isErr()) {
      return Err(answer.error);
    }
    for (const key of answer.value.acceptedKeys) {
      acceptedKeys.add(key);
    }
  }
  return Ok({acceptedKeys});
}
