/** Steps for tables of accounts and routes, without a network. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  AccountDirectory,
  RequestRouter,
  RouteIndex,
  RouteState,
  type ClientAccount,
  type JsonDecisionLog,
  type Route,
  type RoutingConfiguration,
} from '@wasabidyke/balancer';
import {PlatformDecoder, PlatformWireProtocol} from '@wasabidyke/platform';
import {SeededRandom} from '@wasabidyke/policy';
import type {MetricRegistry} from '@wasabidyke/shared';
import {FAULTS, KEY} from '../support/account-faults.js';
import {SECRET} from '../support/account-site.js';
import {
  createAccount,
  createAccounts,
  createRoute,
  createTable,
  decodeConfiguration,
  keysOf,
  writeConfiguration,
} from '../support/account-tables.js';
import {microsecondsOf} from '../support/lookup-time.js';

interface LookupWorld {
  lookups: {few: () => number; many: () => number};
  mismatches: string[];
  drawn: number;
  decoded: {configuration?: RoutingConfiguration; problem?: string};
  versions: RoutingConfiguration[];
  accountIndex: AccountDirectory;
  metrics: MetricRegistry;
  log: JsonDecisionLog;
}

Given(
  /^tables with (\d+) and (\d+) (accounts|routes)$/,
  function (this: LookupWorld, few: string, many: string, what: string) {
    const create = what === 'accounts' ? timeAccounts : timeRoutes;
    this.lookups = {few: create(Number(few)), many: create(Number(many))};
  },
);

Then(
  'a lookup in the larger one takes at most {int} times as long as in the smaller one',
  {timeout: 60_000},
  function (this: LookupWorld, factor: number) {
    const few = this.lookups.few();
    const many = this.lookups.many();
    assert.ok(many <= factor * few, `${few} us and ${many} us`);
  },
);

When(
  '{int} tables of routes are drawn from seed {int}',
  function (this: LookupWorld, count: number, seed: number) {
    const random = new SeededRandom(seed);
    const pick = (from: readonly string[]) =>
      from[random.nextBelow(from.length)];
    const parts = ['', 'a', 'b', 'ab', 'long-name', '..', '%2f'];
    const drawPath = (end: string) => {
      const length = random.nextBelow(4);
      const names = Array.from({length}, () => pick(parts));
      return ['', ...names].join('/') + end;
    };
    const hosts = ['shop.example', 'SHOP.example', 'other.example:8080'];
    this.mismatches = [];
    this.drawn = 0;
    for (let table = 0; table < count; table++) {
      const routes = Array.from({length: random.nextBelow(12)}, (_, index) =>
        createRoute(
          drawPath(pick(['/', '/', '', 'x'])),
          `r${index}`,
          pick(hosts),
        ),
      );
      const index = new RouteIndex(routes);
      for (let call = 0; call < 10; call++) {
        const host = pick([...hosts, 'shop.example:80', 'none.example']);
        const url = drawPath(pick(['', '/', '/c', '?q=/a/b/', '/?x']));
        const expected = searchRoute(routes, host, url);
        const found = index.find(host, url);
        this.drawn += found === undefined ? 0 : 1;
        if (found !== expected) {
          this.mismatches.push(`${host} ${url}`);
        }
      }
    }
  },
);

Then(
  'each path finds the first route with the longest prefix of its host',
  function (this: LookupWorld) {
    assert.ok(this.drawn > 1_000, `${this.drawn} were found`);
    assert.deepEqual(this.mismatches, []);
  },
);

Then(
  'a request of the account {string} on a {string} route has the priority {int}',
  (name: string, routeName: string, priority: number) => {
    const {configuration} = decodeConfiguration(
      writeConfiguration({
        urgent: {api_keys: ['u'], priority: 0},
        lazy: {api_keys: ['l'], priority: 9},
        plain: {api_keys: ['p']},
      }),
    );
    const {routes = [], accounts = []} = configuration ?? {};
    const router = new RequestRouter({
      protocol: new PlatformWireProtocol(),
      routeState: new RouteState({
        random: new SeededRandom(1),
        repeatBudgetOptions: () => {
          throw new Error('routing needs no budget of repeats');
        },
        admitsByValue: () => false,
      }),
    });
    const routed = router.route(
      createTable(routes, accounts),
      `/${routeName}/a`,
      {host: 'shop.example'},
      {accountKey: name[0], hasRepeatedKey: false},
    );
    assert.ok(routed.kind === 'destination');
    assert.equal(routed.priority, priority);
    assert.equal(
      routed.account?.name,
      routeName === 'public' ? undefined : name,
    );
  },
);

Then(
  'the key {string} that is sent as {word} is found: {word}',
  (key: string, encoding: string, found: string) => {
    const account = createAccount({keys: [key]});
    const directory = AccountDirectory.create([account]).unwrap();
    const sent =
      encoding === 'UTF-8' ? Buffer.from(key).toString('latin1') : key;
    assert.equal(directory.findByKey(sent) === account, found === 'yes');
    assert.equal(directory.findByKey(`${sent}x`), undefined);
  },
);

Then(
  /^an account named (".+") is (refused|sent as its bytes of UTF-8)$/,
  (text: string, outcome: string) => {
    const name = JSON.parse(text) as string;
    const created = AccountDirectory.create([createAccount({name})]);
    assert.equal(created.isErr(), outcome === 'refused');
    if (created.isOk()) {
      const headers = new PlatformWireProtocol().toAccountHeaders({}, name);
      const sent = String(headers['wasabidyke-tenant']);
      assert.equal(Buffer.from(sent, 'latin1').toString('utf8'), name);
    }
  },
);

Then(
  /^an account with the quota (\S+) is (taken|refused)$/,
  (quota: string, outcome: string) => {
    const value = Number(quota);
    for (const change of [{requestsPerSecond: value}, {burst: value}]) {
      const created = AccountDirectory.create([createAccount(change)]);
      assert.equal(created.isErr(), outcome === 'refused');
    }
  },
);

When(
  /^a configuration is decoded with (.+)$/,
  function (this: LookupWorld, what: string) {
    const written = writeConfiguration({alpha: {api_keys: [KEY]}});
    FAULTS[what](written);
    const text = JSON.stringify(written).replace('"HUGE"', '1e999');
    const isCut = what === 'its second half missing';
    this.decoded = decodeConfiguration(
      isCut ? text.slice(0, text.indexOf(KEY) + KEY.length) : text,
    );
  },
);

Then(
  "it can't be read, and what is said of it holds no key",
  function (this: LookupWorld) {
    assert.equal(this.decoded.configuration, undefined);
    assert.ok((this.decoded.problem ?? '').length > 0);
    assert.ok(!this.decoded.problem?.includes(SECRET), this.decoded.problem);
  },
);

When(
  'a configuration and one with a changed account are decoded',
  function (this: LookupWorld) {
    const decoder = new PlatformDecoder();
    const tenants = {
      alpha: {api_keys: ['a-1', 'a-2']},
      beta: {api_keys: ['b-1'], allowed_regions: ['home']},
    };
    const changed = {...tenants, alpha: {api_keys: ['a-2', 'a-3']}};
    this.versions = [tenants, changed, changed].map((table, index) => {
      const written = writeConfiguration(table, String(index + 1));
      const {configuration} = decodeConfiguration(written, decoder);
      assert.ok(configuration !== undefined);
      return configuration;
    });
  },
);

Then(
  'the unchanged accounts and routes are the same objects',
  function (this: LookupWorld) {
    const [former, latter] = this.versions;
    assert.equal(latter.routes[0], former.routes[0]);
    assert.equal(latter.accounts?.[1], former.accounts?.[1]);
    assert.notEqual(latter.accounts?.[0], former.accounts?.[0]);
  },
);

Then(
  'the changed account has its new keys alone',
  function (this: LookupWorld) {
    const [former, latter] = this.versions;
    const before = AccountDirectory.create(former.accounts ?? []).unwrap();
    const after = AccountDirectory.create(
      latter.accounts ?? [],
      before,
    ).unwrap();
    const holders = ['a-1', 'a-2', 'a-3', 'b-1'].map(
      key => after.findByKey(key)?.name,
    );
    assert.deepEqual(holders, [undefined, 'alpha', 'alpha', 'beta']);
    assert.equal(before.findByKey('a-1')?.name, 'alpha');
    assert.equal(after.findRevoked('a-1'), 'alpha');
    assert.equal(after.findByName('alpha'), latter.accounts?.[0]);
    this.accountIndex = after;
  },
);

Then(
  'a configuration with the same accounts shares their index',
  function (this: LookupWorld) {
    const {accounts = []} = this.versions[2];
    const next = AccountDirectory.create(accounts, this.accountIndex).unwrap();
    assert.equal(next, this.accountIndex);
  },
);

When(
  'a configuration with a field nested {int} levels deep is decoded twice',
  function (this: LookupWorld, depth: number) {
    const deep = `${'['.repeat(depth)}${']'.repeat(depth)}`;
    const written = writeConfiguration({alpha: {note: 'DEEP'}});
    const text = JSON.stringify(written).replace('"DEEP"', deep);
    const decoder = new PlatformDecoder();
    this.versions = [text, text].flatMap(
      each => decodeConfiguration(each, decoder).configuration ?? [],
    );
  },
);

Then('both are read', function (this: LookupWorld) {
  assert.equal(this.versions.length, 2);
});

When(
  '{int} keys are revoked one version after the other',
  function (this: LookupWorld, count: number) {
    this.accountIndex = AccountDirectory.create([]).unwrap();
    for (let version = 0; version <= count; version++) {
      const accounts = [createAccount({keys: [`key-${version}`]})];
      this.accountIndex = AccountDirectory.create(
        accounts,
        this.accountIndex,
      ).unwrap();
    }
    this.drawn = count;
  },
);

Then(
  'the last {int} of them lead to their account, and no other key does',
  function (this: LookupWorld, kept: number) {
    const {accountIndex: directory, drawn} = this;
    for (let version = 0; version <= drawn; version++) {
      const isKept = version >= drawn - kept && version < drawn;
      const found = directory.findRevoked(`key-${version}`);
      assert.equal(found, isKept ? 'alpha' : undefined, `key-${version}`);
    }
    assert.equal(directory.findRevoked('key-none'), undefined);
  },
);

Then(
  'a revoked key that is given to another account is found there',
  function (this: LookupWorld) {
    const key = `key-${this.drawn - 1}`;
    const accounts = [createAccount({name: 'beta', keys: [key]})];
    const next = AccountDirectory.create(accounts, this.accountIndex).unwrap();
    assert.equal(next.findByKey(key)?.name, 'beta');
    assert.equal(next.findRevoked(key), undefined);
  },
);

When(
  'a line {string} with the reason {string} is logged',
  function (this: LookupWorld, event: string, reason: string) {
    this.log.record(event, {request: 'r-1', reason});
  },
);

Then(
  'the counter of events has that reason as its label',
  function (this: LookupWorld) {
    const series =
      'wasabidyke_events_total{event="request.unauthorized",reason="revoked-key"} 1\n';
    assert.ok(this.metrics.render().includes(series));
  },
);

/** A lookup of fresh keys, as requests bring them. */
function timeAccounts(count: number): () => number {
  const table = createTable([], createAccounts(count));
  const bytes = Array.from({length: count}, (_, index) =>
    Buffer.from(keysOf(index)[1]),
  );
  const find = (index: number): ClientAccount | undefined =>
    table.findAccountByKey(bytes[index % count].toString('latin1'));
  assert.equal(find(count - 1)?.name, `account-${count - 1}`);
  return () => microsecondsOf(find);
}

function timeRoutes(count: number): () => number {
  const routes = Array.from({length: count}, (_, index) =>
    createRoute(`/area-${index}/v1/`),
  );
  const table = createTable(routes, []);
  const find = (index: number): Route | undefined =>
    table.findRoute('shop.example', `/area-${index % count}/v1/x?y=z`);
  assert.equal(find(count - 1), routes[count - 1]);
  return () => microsecondsOf(find);
}

/** Finds a route by a search through all of them. */
function searchRoute(
  routes: readonly Route[],
  host: string,
  url: string,
): Route | undefined {
  const toName = (text: string) => text.replace(/:\d+$/, '').toLowerCase();
  const [path] = url.split('?');
  return [...routes]
    .sort((left, right) => right.prefix.length - left.prefix.length)
    .find(
      route =>
        toName(route.host) === toName(host) && path.startsWith(route.prefix),
    );
}
