/**
 * Schemas of values that others write. They are checked where they are decoded,
 * with the same bounds in records of the store, messages between entries,
 * settings and manifests.
 */

import {isIP} from 'node:net';
import * as z from 'zod/mini';
import {parseSocketAddress} from './address.js';
import {DAY_MS} from './units.js';

/** Hosts that name no single machine: unspecified, multicast and broadcast addresses. */
const NO_SINGLE_HOST = /^(0\.|22[4-9]\.|23\d\.|24\d\.|25[0-5]\.|::$|ff)/i;

/** Requests that an upstream serves at once, at most. */
const MAXIMUM_SLOTS = 10_000;

/** Connections that an upstream accepts, at most. */
const MAXIMUM_CONNECTIONS = 100_000;

/** Largest sequence: a hundred times the number of milliseconds since 1970, so that a sequence can always rise. */
const MAXIMUM_SEQUENCE = 2 ** 48;

/** How far a time may be ahead of this machine's clock, in milliseconds: clocks differ by less. */
const MAXIMUM_AHEAD_MS = DAY_MS;

/** Longest duration that is taken as it is, in milliseconds; timers of Node.js end at 25 days. */
const MAXIMUM_DURATION_MS = DAY_MS;

const MILLISECONDS_BY_UNIT: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
};

function isListenAddress(text: string): boolean {
  const address = parseSocketAddress(text);
  return address !== undefined && address.port > 0;
}

function isHostAddress(text: string): boolean {
  const address = parseSocketAddress(text);
  return (
    address !== undefined &&
    address.port > 0 &&
    !NO_SINGLE_HOST.test(address.host)
  );
}

/** Schema of an IP address to listen on, and a port. */
export const listenAddressSchema = z.string().check(
  z.refine(isListenAddress, {
    error: 'Give an IP address and a port from 1 to 65535, as 192.0.2.7:8080.',
  }),
);

/** Schema of the IP address of one host, and a port: what others connect to. */
export const hostAddressSchema = z.string().check(
  z.refine(isHostAddress, {
    error:
      'Give an IP address of one host and a port from 1 to 65535, as 192.0.2.7:8080.',
  }),
);

/** Schema of the IP address of one host. */
export const hostSchema = z.string().check(
  z.refine(text => isIP(text) !== 0 && !NO_SINGLE_HOST.test(text), {
    error: 'Give the IP address of one host.',
  }),
);

/** Schema of the number of requests that an upstream serves at once. */
export const slotsSchema = z
  .int()
  .check(z.minimum(1), z.maximum(MAXIMUM_SLOTS));

/** Schema of the number of connections that an upstream accepts from all entries together. */
export const connectionsSchema = z
  .int()
  .check(z.minimum(1), z.maximum(MAXIMUM_CONNECTIONS));

/** Schema of a number that orders what one writer writes. */
export const sequenceSchema = z
  .int()
  .check(z.minimum(0), z.maximum(MAXIMUM_SEQUENCE));

/**
 * Schema of a time since 1970 in milliseconds that orders processes, or of a
 * sequence that begins with one. One far ahead would stay the latest for good.
 */
export const startTimeSchema = z.int().check(
  z.minimum(0),
  z.refine(value => value <= Date.now() + MAXIMUM_AHEAD_MS, {
    error: 'The time is more than a day ahead.',
  }),
);

/** Schema of a duration in milliseconds. */
export const durationMsSchema = z
  .number()
  .check(z.minimum(0), z.maximum(MAXIMUM_DURATION_MS));

const durationTextSchema = z.string().check(
  z.regex(/^\d+(\.\d+)?(ms|s)$/, {
    error: 'Give a number with its unit, such as 250ms or 2.5s.',
  }),
);

function toMilliseconds(text: string): number {
  const unit = text.endsWith('ms') ? 'ms' : 's';
  return Number(text.slice(0, -unit.length)) * MILLISECONDS_BY_UNIT[unit];
}

/** Schema of a duration such as `250ms` or `2.5s`, up to a day, converted to milliseconds. */
export const durationSchema = z.pipe(
  z.pipe(durationTextSchema, z.transform(toMilliseconds)),
  durationMsSchema,
);

/** Schema of a duration of which all that exceeds a day counts as a day, converted to milliseconds. */
export const cappedDurationSchema = z.pipe(
  durationTextSchema,
  z.transform(text => Math.min(toMilliseconds(text), MAXIMUM_DURATION_MS)),
);
