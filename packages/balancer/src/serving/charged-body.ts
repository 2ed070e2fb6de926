/** Reads the body of a request while its quota is asked for, so that neither waits for the other. */

import type {IncomingMessage} from 'node:http';
import type {BodyResult} from './body-reader.js';
import type {Refusal} from './routed-request.js';

/** A body, why there is none, or a refusal. */
export type ChargedBody =
  BodyResult | {readonly kind: 'refused'; readonly refusal: Refusal};

/** Waits for a body and for what is decided by the quota; a refusal doesn't wait for the body. */
export async function awaitChargedBody(
  request: IncomingMessage,
  reading: BodyResult | Promise<BodyResult>,
  charge: Refusal | undefined | Promise<Refusal | undefined>,
): Promise<ChargedBody> {
  if (charge === undefined) {
    return reading;
  }
  const body = Promise.resolve(reading);
  const first = await Promise.race([body, toRefused(charge)]);
  if (first === undefined) {
    return body;
  }
  if (first.kind === 'refused') {
    void discard(request, body);
    return first;
  }
  if (first.kind !== 'body') {
    return first;
  }
  const refused = await toRefused(charge);
  if (refused !== undefined) {
    first.release();
  }
  return refused ?? first;
}

async function toRefused(
  charge: Refusal | undefined | Promise<Refusal | undefined>,
): Promise<{kind: 'refused'; refusal: Refusal} | undefined> {
  const refusal = await charge;
  return refusal && {kind: 'refused', refusal};
}

/** The rest of the body is read, so that the connection can be used again. */
async function discard(
  request: IncomingMessage,
  body: Promise<BodyResult>,
): Promise<void> {
  const read = await body;
  if (read.kind === 'body') {
    read.release();
  } else {
    request.destroy();
  }
}
