/** Hands ledger records over to a successor, in messages of limited size. */

import {Err, Ok, type Result} from '@wasabidyke/shared';
import {toChunks, toWireRecord, type LedgerRecord} from './ledger-record.js';
import type {PeerClients, PeerError, PeerTarget} from './peer-clients.js';
import type {SenderFields} from './reconciler.js';

/** A successor's acknowledgement of a hand-over. */
export interface HandOverAnswer {
  /** Keys that the successor answers for from now on. */
  readonly acceptedKeys: ReadonlySet<string>;
}

/** Options of `handOverRecords`. */
export interface HandOverOptions {
  readonly clients: PeerClients;
  readonly sender: SenderFields;
  readonly target: PeerTarget;
  /** Timeout of each message, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Hands records over. An error means that none or only some of the messages were
 * acknowledged; sending the same records again is harmless.
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
