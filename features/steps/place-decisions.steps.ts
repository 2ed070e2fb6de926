/** Steps for the decisions on regions and evacuations, without a network. */

import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  LimitGate,
  Placement,
  RoutingTable,
  UpstreamSelector,
  UpstreamSender,
  type AllowedRegions,
  type LimitGateOptions,
  type RoutedRequest,
  type SelectedUpstream,
  type SelectionCriteria,
  type UpstreamHandle,
  type UpstreamSelectorOptions,
  type UpstreamSenderOptions,
} from '@wasabidyke/balancer';
import {
  RoundTripEstimate,
  SeededRandom,
  UpstreamStatistics,
} from '@wasabidyke/policy';
import {SystemClock} from '@wasabidyke/shared';
import {MemoryLog} from '../support/memory-log.js';

interface DecisionWorld {
  placement: Placement;
  regionByZone: Record<string, string>;
  takenBack: string[];
  selected: UpstreamHandle;
  connectionsTaken: number;
  result: SelectedUpstream | undefined;
  limited: UpstreamHandle[];
}

const HOST = 'shop.example';

Given(
  'zones {string} of {string} and {string} of {string}',
  function (
    this: DecisionWorld,
    firstZones: string,
    firstRegion: string,
    secondZones: string,
    secondRegion: string,
  ) {
    this.takenBack = [];
    this.limited = [];
    this.regionByZone = Object.fromEntries([
      ...split(firstZones).map(zone => [zone, firstRegion]),
      ...split(secondZones).map(zone => [zone, secondRegion]),
    ]);
    this.placement = new Placement({
      settings: toSettings(this),
      log: new MemoryLog(),
      onTakenBack: zone => {
        // The zone is not usable yet: its upstreams are to be treated as cold first.
        assert.ok(this.placement.evacuations.has(zone));
        this.takenBack.push(zone);
      },
    });
  },
);

Given(
  'the zones {string} have evacuation records',
  function (this: DecisionWorld, zones: string) {
    for (const zone of split(zones)) {
      this.placement.evacuations.apply(zone, true);
    }
  },
);

When(
  'a complete read holds the evacuation records {string}',
  function (this: DecisionWorld, zones: string) {
    this.placement.evacuations.onCompleteRead(new Set(split(zones)));
  },
);

When(
  'the settings name the zone {string}',
  function (this: DecisionWorld, zone: string) {
    this.regionByZone[zone] = 'home';
    this.placement.applySettings(toSettings(this));
  },
);

Then(
  'the zones {string} are evacuated',
  function (this: DecisionWorld, zones: string) {
    assert.deepEqual(this.placement.evacuations.zones, split(zones));
  },
);

Then(
  'the zones {string} were taken back',
  function (this: DecisionWorld, zones: string) {
    assert.deepEqual(this.takenBack, split(zones));
  },
);

Then(
  /^an upstream in "([^"]+)" (may|may not) be used with the regions "([^"]+)" allowed$/,
  function (this: DecisionWorld, zone: string, may: string, regions: string) {
    const isAllowed = this.placement.allows(
      toHandle(zone),
      toAllowedRegions(regions),
    );
    assert.equal(isAllowed, may === 'may');
  },
);

Then(
  'with upstreams in {string} and the regions {string} allowed, the obstacle is {string}',
  function (
    this: DecisionWorld,
    zones: string,
    regions: string,
    obstacle: string,
  ) {
    const found = this.placement.findObstacle(
      split(zones).map(toHandle),
      toAllowedRegions(regions),
    );
    assert.equal(found ?? 'none', obstacle);
  },
);

Given(
  'an upstream in {string} is selected',
  function (this: DecisionWorld, zone: string) {
    this.connectionsTaken = 0;
    const connections = {
      take: () => {
        this.connectionsTaken += 1;
        return undefined;
      },
    };
    const handle = {record: {zone}, isResting: () => false, connections};
    this.selected = handle as unknown as UpstreamHandle;
  },
);

When(
  '{string} is evacuated while the load of an upstream in {string} is queried',
  async function (this: DecisionWorld, evacuated: string, zone: string) {
    const {placement} = this;
    const group = {onAttempt: () => {}, share: () => 0};
    const reach = {onHeard: () => {}};
    const handle = {
      record: {zone},
      limit: {
        appliedPerSecond: () => undefined,
        mayTryNew: () => false,
        warmUp: {isConfigured: false},
      },
      warmUp: {warmUp: {isDoubtful: false}},
      statistics: new UpstreamStatistics(
        'same-zone',
        1,
        4,
        group as unknown as ConstructorParameters<typeof UpstreamStatistics>[3],
        reach as unknown as ConstructorParameters<typeof UpstreamStatistics>[4],
      ),
      isDraining: false,
      isResting: () => false,
      isResponsive: () => true,
      hasConnection: () => true,
      queryLoad: async () => placement.evacuations.apply(evacuated, true),
    };
    const selector = new UpstreamSelector({
      registry: {
        list: () => [handle],
        groupFailureShare: () => group,
        hasWarmUp: () => false,
        roundTrip: () => new RoundTripEstimate(1),
      },
      placement,
      clock: new SystemClock(),
      random: new SeededRandom(1),
      costs: {crossZonePerMegabyte: 0, crossRegionPerMegabyte: 0},
      queryBudget: {take: () => true},
    } as unknown as UpstreamSelectorOptions);
    const criteria: Partial<SelectionCriteria> = {
      excluded: new Set(),
      allowedRegions: undefined,
      workEstimate: {workMs: 10} as SelectionCriteria['workEstimate'],
      targetAtMs: Infinity,
      deadlineMs: Infinity,
      bodyBytes: 0,
    };
    this.result = await selector.select(criteria as SelectionCriteria);
  },
);

Then(
  /^(no|that) upstream is selected$/,
  function (this: DecisionWorld, which: string) {
    assert.equal(this.result !== undefined, which === 'that');
  },
);

Given(
  /^an upstream in "([^"]*)" that is (without limit|in warm-up|limited)$/,
  function (this: DecisionWorld, zone: string, state: string) {
    const perSecond = state === 'without limit' ? undefined : 1;
    const handle = {
      record: {zone},
      limit: {appliedPerSecond: () => perSecond},
      warmUp: {warmUp: {isCold: () => state === 'in warm-up'}},
    };
    this.limited.push(handle as unknown as UpstreamHandle);
  },
);

Then(
  /^with the regions "([^"]*)" allowed, the service is (not )?limited and (not )?warming up$/,
  function (
    this: DecisionWorld,
    regions: string,
    notLimited: string | null,
    notWarmingUp: string | null,
  ) {
    const request = {
      service: 'shop',
      allowedRegions: toAllowedRegions(regions),
    };
    const gate = new LimitGate(
      request as unknown as RoutedRequest,
      {
        registry: {list: () => this.limited},
        placement: this.placement,
        clock: new SystemClock(),
      } as unknown as LimitGateOptions,
    );
    assert.equal(gate.isServiceLimited, notLimited === null);
    assert.equal(gate.isServiceWarmingUp, notWarmingUp === null);
  },
);

When('the request is sent to it', function (this: DecisionWorld) {
  const request = {allowedRegions: undefined} as unknown as RoutedRequest;
  const options = {placement: this.placement, clock: new SystemClock()};
  const sender = new UpstreamSender(
    request,
    options as unknown as UpstreamSenderOptions,
  );
  const selected = {handle: this.selected, estimateMs: 1};
  sender.send(selected as unknown as SelectedUpstream, () => {});
});

Then(
  'it takes {int} connections',
  function (this: DecisionWorld, count: number) {
    assert.equal(this.connectionsTaken, count);
  },
);

Then(
  'a host whose routes allow {string} is served in {string}',
  (lists: string, regions: string) => {
    const table = new RoutingTable({
      version: 1,
      routes: lists.split('; ').map((list, index) => ({
        name: `route-${index}`,
        host: HOST,
        prefix: `/${index}/`,
        kind: 'idempotent',
        timeoutMs: 1_000,
        targetLatencyMs: 100,
        priority: 1,
        maximumAttempts: 1,
        targets: [{name: 'shop', weight: 1}],
        allowedRegions: [...(toAllowedRegions(list) ?? [])],
        isPublic: false,
      })),
      services: [],
      limits: {
        headerBytes: 1,
        bodyBytes: 1,
        headerTimeoutMs: 1,
        idleTimeoutMs: 1,
      },
    });
    // A caller may name the port as well.
    const found = table.findHostRegions(`${HOST}:80`);
    assert.deepEqual(found, toAllowedRegions(regions));
  },
);

function toSettings({regionByZone}: DecisionWorld) {
  return {zone: 'home-a', region: 'home', regionByZone};
}

function toHandle(zone: string): UpstreamHandle {
  return {record: {zone}} as unknown as UpstreamHandle;
}

function split(names: string): string[] {
  return names.split(', ').filter(name => name !== '');
}

/** `any` stands for no list, and `none` for lists that have no region in common. */
function toAllowedRegions(regions: string): AllowedRegions {
  if (regions === 'any') {
    return undefined;
  }
  return new Set(regions === 'none' ? [] : split(regions));
}
