/**
 * Messages between entries and records in the store, as builds that landed
 * wrote them, and what these builds need to read them. A build reads what is
 * written by each landed one, and the other way round.
 */

import {
  entryRecordSchema,
  feedSchema,
  limitsSchema,
  parseRequest,
  parseSuspect,
  quotaAnswerSchema,
  quotaDemandSchema,
  quotaQuerySchema,
  serializeFeed,
  serializeQuotaAnswer,
  serializeQuotaDemand,
  serializeQuotaQuery,
  serializeLimits,
  serializeRequest,
  serializeStatements,
  serializeSuspect,
  statementsSchema,
  toSuspectKey,
} from '@wasabidyke/balancer';
import * as z from 'zod/mini';

/** A message or record. */
export type MessageName =
  | 'feed'
  | 'entry record'
  | 'suspect record'
  | 'statements'
  | 'limits'
  | 'quota query'
  | 'quota answer'
  | 'quota demand'
  | 'relay request';

const change = {key: 'servers/i-1', value: 'e30=', revision: 7};
const feed = JSON.stringify({revision: 7, changes: [change]});
const agedFeed = JSON.stringify({revision: 7, ageMs: 12, changes: [change]});
const entry = {
  name: 'entry-1',
  address: '10.0.0.1:1',
  feedAddress: '10.0.0.1:2',
  region: 'home',
  zone: 'home-a',
};
/** A departure; builds since CONFIG, DRAIN tell it to followers that ask. */
export const departed = {
  id: 'i-1',
  startedAtEpochMs: 5,
  sequence: 6,
  service: 'shop',
  address: '10.0.0.9:1',
  isDraining: true,
  ageMs: 70,
};
/** A request that crashed an upstream. */
export const suspect = {
  fingerprint: 'f1',
  reporter: 'entry-1',
  sequence: 3,
  crashes: [{upstream: 'i-1@5', caller: 'c', span: {fromMs: 1, toMs: 2}}],
  isAnswered: false,
};
/** A statement on an entry. */
export const statement = {
  name: 'entry-1',
  sequence: 5,
  isUp: false,
  reporter: 'entry-2',
};
/** A limit of an upstream. */
export const limit = {upstream: 'i-1', requestsPerSecond: 20, ageMs: 5};
/** Messages on the quota of an account. */
const quotaQuery = {asks: [{account: 'a-1', count: 3}], isForwarded: true};
const quotaAnswer = {grants: [{account: 'a-1', granted: 2, comeBackMs: 40}]};
/** Messages by which the right to grant is handed over. */
const takingQuery = {...quotaQuery, isTaking: true, asker: 'entry-2'};
const releasingAnswer = {
  grants: [...quotaAnswer.grants, {account: 'a-2', released: 2.5}],
};
const quotaDemand = {
  region: 'home',
  demands: [
    {
      account: 'a-1',
      perSecond: 4.5,
      isStart: true,
      wanted: 3,
      lent: 2,
      knownPerSecond: 4.5,
    },
  ],
};
/** A request that another entry is to send. */
export const relayed = {
  requestId: 'r-1',
  method: 'POST',
  url: '/write/a?b=1',
  headers: {host: 'shop.example'},
  hasBody: true,
  callerAddress: '10.0.1.1',
  service: 'shop',
  kind: 'at-most-once' as const,
  elapsedMs: 3,
  remainingMs: 900,
  excluded: ['i-1'],
};
/** The same of a request whose route or client account names regions. */
const relayedInRegions = {...relayed, allowedRegions: ['home']};

/** The same request on a client account. */
export const relayedOnAccount = {...relayed, account: 'alpha'};

/** What landed builds wrote, by build and message. */
export const WRITTEN: Readonly<
  Record<string, Partial<Record<MessageName, string>>>
> = {
  f514c4b: {feed, 'entry record': JSON.stringify(entry)},
  c71b7fa: {feed: agedFeed, 'suspect record': JSON.stringify(suspect)},
  '9812e0f': {
    feed: agedFeed,
    'entry record': JSON.stringify({...entry, sequence: 5}),
    statements: JSON.stringify({statements: [statement]}),
    limits: JSON.stringify({limits: [limit]}),
  },
  '5191b2f': {
    feed: agedFeed,
    'relay request': `${JSON.stringify(relayed)}\nbody`,
  },
  ad08e2f: {
    feed: JSON.stringify({
      revision: 7,
      era: 3,
      ageMs: 12,
      departures: [departed],
      changes: [change],
    }),
    'entry record': JSON.stringify({...entry, sequence: 5, tellsEra: true}),
  },
  '0bf06d7': {
    'relay request': `${JSON.stringify(relayedOnAccount)}\nbody`,
  },
  '21d107c': {
    'relay request': `${JSON.stringify(relayedInRegions)}\nbody`,
  },
  e49d12a: {
    'entry record': JSON.stringify({
      ...entry,
      sequence: 5,
      tellsEra: true,
      grantsQuotas: true,
    }),
    'quota query': JSON.stringify(quotaQuery),
    'quota answer': JSON.stringify(quotaAnswer),
    'quota demand': JSON.stringify(quotaDemand),
  },
};

const suspectKey = toSuspectKey(suspect);

/** Whether this build reads a message. */
export const READERS: Readonly<Record<MessageName, (text: string) => boolean>> =
  {
    feed: text => feedSchema.safeParse(JSON.parse(text)).success,
    'entry record': text =>
      entryRecordSchema.safeParse(JSON.parse(text)).success,
    'suspect record': text =>
      parseSuspect(suspectKey, Buffer.from(text)) !== undefined,
    statements: text => statementsSchema.safeParse(JSON.parse(text)).success,
    'quota query': text => quotaQuerySchema.safeParse(JSON.parse(text)).success,
    'quota answer': text =>
      quotaAnswerSchema.safeParse(JSON.parse(text)).success,
    'quota demand': text =>
      quotaDemandSchema.safeParse(JSON.parse(text)).success,
    limits: text => limitsSchema.safeParse(JSON.parse(text)).success,
    'relay request': text =>
      parseRequest(Buffer.from(text))?.body?.toString() === 'body',
  };

/** What this build writes. */
export const WRITERS: Readonly<Record<MessageName, () => string>> = {
  feed: () => {
    const value = Buffer.from('{}');
    const changes = [{...change, value}];
    return serializeFeed({changes, revision: 7, era: 3}, 12, [departed]);
  },
  'entry record': () =>
    JSON.stringify({
      ...entry,
      sequence: 5,
      tellsEra: true,
      grantsQuotas: true,
    }),
  'quota query': () => serializeQuotaQuery(takingQuery),
  'quota answer': () => serializeQuotaAnswer(releasingAnswer),
  'quota demand': () => serializeQuotaDemand(quotaDemand),
  'suspect record': () => serializeSuspect(suspect).toString(),
  statements: () => serializeStatements([statement]),
  limits: () => serializeLimits({limits: [limit]}),
  'relay request': () => {
    const request = {...relayedInRegions, ...relayedOnAccount};
    const bytes = serializeRequest(request, Buffer.from('body'));
    return bytes.toString().split('\n')[0];
  },
};

const fedChanges = z.array(
  z.object({
    key: z.string(),
    value: z.optional(z.string()),
    revision: z.int(),
  }),
);
const nonNegative = z.number().check(z.minimum(0));
const optionalNonNegative = z.optional(nonNegative);

/** What landed builds need, by build and message. */
export const NEEDED: Readonly<
  Record<string, Partial<Record<MessageName, z.ZodMiniType>>>
> = {
  f514c4b: {
    feed: z.object({revision: z.int(), changes: fedChanges}),
    'entry record': z.object({
      name: z.string(),
      address: z.string(),
      feedAddress: z.optional(z.string()),
      region: z.string(),
      zone: z.string(),
    }),
  },
  c71b7fa: {
    feed: z.object({
      revision: z.int(),
      ageMs: nonNegative,
      changes: fedChanges,
    }),
    'suspect record': z.object({
      fingerprint: z.string(),
      reporter: z.string(),
      sequence: z.int(),
      crashes: z.array(
        z.object({
          upstream: z.string(),
          caller: z.optional(z.string()),
          span: z.optional(z.object({fromMs: z.number(), toMs: z.number()})),
        }),
      ),
      isAnswered: z.boolean(),
    }),
  },
  '9812e0f': {
    statements: z.object({
      statements: z.array(
        z.object({
          name: z.string(),
          sequence: z.int(),
          isUp: z.boolean(),
          reporter: z.string(),
        }),
      ),
    }),
    limits: z.object({
      limits: z.array(
        z.object({
          upstream: z.string(),
          requestsPerSecond: z.nullable(nonNegative),
          ageMs: nonNegative,
        }),
      ),
    }),
  },
  ad08e2f: {
    feed: z.object({revision: z.int(), era: z.int(), changes: fedChanges}),
    'entry record': z.object({tellsEra: z.optional(z.boolean())}),
  },
  '21d107c': {
    'relay request': z.object({
      allowedRegions: z.optional(z.array(z.string())),
    }),
  },
  e49d12a: {
    'entry record': z.object({grantsQuotas: z.optional(z.boolean())}),
    'quota query': z.object({
      asks: z.array(z.object({account: z.string(), count: z.int()})),
      isForwarded: z.optional(z.boolean()),
    }),
    'quota answer': z.object({
      grants: z.array(
        z.object({
          account: z.string(),
          granted: z.optional(z.int()),
          comeBackMs: optionalNonNegative,
        }),
      ),
    }),
    'quota demand': z.object({
      region: z.string(),
      demands: z.array(
        z.object({
          account: z.string(),
          perSecond: nonNegative,
          isStart: z.optional(z.boolean()),
          wanted: z.optional(z.int()),
          lent: z.optional(z.int()),
          knownPerSecond: optionalNonNegative,
        }),
      ),
    }),
  },
  '5191b2f': {
    'relay request': z.object({
      requestId: z.optional(z.string()),
      method: z.string(),
      url: z.string(),
      headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
      hasBody: z.boolean(),
      callerAddress: z.string(),
      service: z.string(),
      kind: z.enum(['idempotent', 'at-most-once']),
      elapsedMs: nonNegative,
      remainingMs: nonNegative,
      excluded: z.array(z.string()),
    }),
  },
  '0bf06d7': {'relay request': z.object({account: z.string()})},
};
