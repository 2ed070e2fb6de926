/** Reads the body of a request while its quota is asked for, so that neither waits for the other. */

import type {IncomingMessage} from 'node:http';
import type {BodyReading, BodyResult} from './body-reader.js';
import type {Refusal} from './routed-request.js';

/** A body, why there is none, or a refusal. */
export type ChargedBody =
  BodyResult | {readonly kind: 'refused'; readonly refusal: Refusal};

/** Waits for a body and for what is decided by the quota; a refusal doesn't wait for the body. */
export async function awaitChargedBody(
  request: IncomingMessage,
  reading: BodyReading,
  charge: Refusal | undefined | Promise<Refusal | undefined>,
): Promise<ChargedBody> {
  if (charge === undefined) {
    return reading.result;
  }
  const charged = toRefused(charge);
  try {
    const first = await Promise.race([reading.result, charged]);
    if (first?.kind !== 'body' && first?.kind !== 'refused' && first) {
      return first;
    }
    const refused = await charged;
    if (refused === undefined) {
      return await reading.result;
    }
    void discard(request, reading);
    return refused;
  } catch (error) {
    void discard(request, reading);
    throw error;
  }
}

async function toRefused(
  charge: Refusal | undefined | Promise<Refusal | undefined>,
): Promise<{kind: 'refused'; refusal: Refusal} | undefined> {
  const refusal = await charge;
  return refusal && {kind: 'refused', refusal};
}

/** Returns the memory of the body. The rest of it is read, so that the connection can be used again. */
async function discard(
  request: IncomingMessage,
  reading: BodyReading,
): Promise<void> {
  reading.discard();
  const {kind} = await reading.result;
  if (kind !== 'body') {
    request.destroy();
  }
}
