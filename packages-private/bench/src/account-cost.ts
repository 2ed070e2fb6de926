/** What client accounts and routes cost: a lookup per request, and a changed configuration. */

import {
  AccountDirectory,
  RoutingTable,
  type RecordDecoder,
  type RoutingConfiguration,
} from '@wasabidyke/balancer';
import {PlatformDecoder} from '@wasabidyke/platform';

/** Size of a configuration. */
export interface ConfigurationSize {
  readonly accounts: number;
  /** Routes of one host. */
  readonly routes: number;
}

/** Figures of one size. Lookups are in microseconds, versions in milliseconds of processor time. */
export interface AccountCostCell extends ConfigurationSize {
  readonly bytes: number;
  /** Keys of a few accounts in turn, the same number at each size. */
  readonly keyLookupUs: number;
  /** Keys of all accounts in turn: many of them are in no cache of the processor. */
  readonly anyKeyLookupUs: number;
  readonly unknownKeyLookupUs: number;
  readonly routeLookupUs: number;
  /** Parsing of the text as JSON alone. */
  readonly parseMs: number;
  /** Decoding and applying a configuration of which nothing is known before. */
  readonly firstVersionMs: number;
  /** The same for one that differs from the version before in one account. */
  readonly changedAccountMs: number;
  /** The same for one that differs from the version before in one route. */
  readonly changedRouteMs: number;
}

/** Sizes that are measured: the deployment's, with 1,400 more routes, and each with many accounts. */
export const CONFIGURATION_SIZES: readonly ConfigurationSize[] = [
  {accounts: 79, routes: 100},
  {accounts: 79, routes: 1_500},
  {accounts: 10_000, routes: 100},
  {accounts: 10_000, routes: 1_500},
];

/** Accounts whose keys are looked up in turn, spread over the table. */
const FEW_ACCOUNTS = 79;

const LOOKUPS_PER_BATCH = 20_000;
const VERSIONS_PER_BATCH = 10;

/** The quickest of so many batches counts, since other work on the machine only adds to them. */
const BATCHES = 9;

const HOST = 'shop.example';
const CONFIGURATION_KEY = 'op/config';
const MICROSECONDS_PER_MS = 1_000;

/** Measures one size. */
export function measureAccountCost(size: ConfigurationSize): AccountCostCell {
  const text = writeConfiguration(size, {version: 1});
  const configuration = decode(new PlatformDecoder(), text);
  const table = new RoutingTable(configuration);
  // Requests bring fresh strings, whose hashes aren't known yet.
  const keys = Array.from({length: size.accounts}, (_, index) =>
    Buffer.from(toKey(index, 'b')),
  );
  const step = Math.floor(size.accounts / FEW_ACCOUNTS);
  const fewKeys = keys.filter((_, index) => index % step === 0);
  const findKey = (call: number) =>
    table.findAccountByKey(fewKeys[call % fewKeys.length].toString('latin1'));
  const findAnyKey = (call: number) =>
    table.findAccountByKey(keys[call % keys.length].toString('latin1'));
  const findUnknownKey = (call: number) =>
    table.findAccountByKey(
      `${fewKeys[call % fewKeys.length].toString('latin1')}x`,
    );
  const findRoute = (call: number) =>
    table.findRoute(HOST, `${toPrefix(call % size.routes)}orders?page=2`);
  return {
    ...size,
    bytes: text.length,
    keyLookupUs: measure(findKey, LOOKUPS_PER_BATCH) * MICROSECONDS_PER_MS,
    anyKeyLookupUs:
      measure(findAnyKey, LOOKUPS_PER_BATCH) * MICROSECONDS_PER_MS,
    unknownKeyLookupUs:
      measure(findUnknownKey, LOOKUPS_PER_BATCH) * MICROSECONDS_PER_MS,
    routeLookupUs: measure(findRoute, LOOKUPS_PER_BATCH) * MICROSECONDS_PER_MS,
    parseMs: measure(
      () => JSON.parse(text.toString('utf8')) as unknown,
      VERSIONS_PER_BATCH,
    ),
    firstVersionMs: measure(
      () => new RoutingTable(decode(new PlatformDecoder(), text)),
      VERSIONS_PER_BATCH,
    ),
    changedAccountMs: measureChanges(version =>
      writeConfiguration(size, {version, accountVersion: version}),
    ),
    changedRouteMs: measureChanges(version =>
      writeConfiguration(size, {version, routeVersion: version}),
    ),
  };
}

/** Measures the decoding and applying of one version after the other. */
function measureChanges(write: (version: number) => Buffer): number {
  const texts = Array.from({length: VERSIONS_PER_BATCH}, (_, index) =>
    write(index + 1),
  );
  const decoder = new PlatformDecoder();
  let accounts = AccountDirectory.create([]).unwrap();
  return measure(call => {
    const configuration = decode(decoder, texts[call]);
    accounts = AccountDirectory.create(
      configuration.accounts ?? [],
      accounts,
    ).unwrap();
    return new RoutingTable(configuration, accounts);
  }, VERSIONS_PER_BATCH);
}

/** Milliseconds of processor time of one call. */
function measure(run: (call: number) => unknown, calls: number): number {
  let best = Infinity;
  for (let batch = 0; batch < BATCHES; batch++) {
    const before = process.cpuUsage();
    for (let call = 0; call < calls; call++) {
      run(call);
    }
    const {user, system} = process.cpuUsage(before);
    best = Math.min(best, (user + system) / MICROSECONDS_PER_MS / calls);
  }
  return best;
}

function decode(decoder: RecordDecoder, text: Buffer): RoutingConfiguration {
  const decoded = decoder.decode(CONFIGURATION_KEY, text);
  if (decoded.kind !== 'configuration' || !decoded.configuration) {
    throw new Error('The configuration of the experiment is wrong.');
  }
  return decoded.configuration;
}

function toKey(index: number, name: string): string {
  return `${name}-${index}-9f3c27d1b64e8a05c7d2`;
}

function toPrefix(index: number): string {
  return `/area-${index}/v1/`;
}

/** Writes a configuration; versions change one account or one route. */
function writeConfiguration(
  size: ConfigurationSize,
  changes: {version: number; accountVersion?: number; routeVersion?: number},
): Buffer {
  const {version, accountVersion = 0, routeVersion = 0} = changes;
  const routes = Array.from({length: size.routes}, (_, index) => [
    `route-${index}`,
    {
      host: HOST,
      prefix: toPrefix(index),
      kind: 'safe',
      timeout: '1000ms',
      target_latency: `${index === 0 ? 200 + routeVersion : 200}ms`,
      priority: 1,
      max_attempts: 2,
      service: 'shop',
    },
  ]);
  const tenants = Array.from({length: size.accounts}, (_, index) => [
    `account-${index}`,
    {
      api_keys: [toKey(index, 'a'), toKey(index, 'b')],
      priority: 1,
      rate_per_s: index === 0 ? accountVersion : 5,
      burst: 10,
      allowed_regions: [],
    },
  ]);
  return Buffer.from(
    JSON.stringify({
      version: version.toString(16),
      routes: Object.fromEntries(routes) as object,
      services: {shop: {health_path: '/load', max_connections: 200}},
      limits: {
        max_header_bytes: 8_192,
        max_body_bytes: 100_000,
        header_timeout: '3s',
        idle_timeout: '15s',
      },
      tenants: Object.fromEntries(tenants) as object,
    }),
  );
}
