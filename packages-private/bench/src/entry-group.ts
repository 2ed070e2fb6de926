/** The entries of a deployment: real processes that serve every arm as a service of its own. */

import {setTimeout as sleep} from 'node:timers/promises';
import type {Upstream} from '@wasabidyke/manifest';
import {request} from 'undici';
import type {ChildGroup} from './child-process.js';
import type {Deployment} from './deployment.js';
import type {PolicySettings} from './policy-settings.js';
import {PLACE, type UpstreamGroup} from './upstream-group.js';

/** The program of an entry. */
const ENTRY_PROGRAM = new URL(
  'main.js',
  import.meta.resolve('@wasabidyke/entry'),
).pathname;

/** Last octet of the first entry's address, behind those of workers. */
const FIRST_HOST = 101;

const CALLER_PORT = 17_000;
const OPERATOR_PORT = 17_001;

/** Longest time from the start to the first manifest in force, in milliseconds. */
const SERVE_TIMEOUT_MS = 20_000;

const POLL_MS = 50;

/** Requests that may wait in an entry, for each service. */
const QUEUE_LIMIT = 256;

/** Further attempts after one that broke off. */
const RETRIES = 1;

/** Share of requests that may be added by retries and hedges. */
const RETRY_SHARE = 0.1;

/** The entries of a deployment. */
export class EntryGroup {
  /** Where callers reach the entries. */
  readonly addresses: readonly string[];
  readonly #deployment: Deployment;
  readonly #network: string;

  constructor(deployment: Deployment, network: string) {
    this.#deployment = deployment;
    this.#network = network;
    this.addresses = Array.from(
      {length: deployment.entries},
      (_, index) => `${network}.${FIRST_HOST + index}:${CALLER_PORT}`,
    );
  }

  /** Starts the entries and waits until all serve. */
  async start(
    children: ChildGroup,
    groups: readonly UpstreamGroup[],
    settings: PolicySettings,
  ): Promise<void> {
    const manifest = this.#toManifest(groups, settings);
    const manifestFile = children.writeSettings(manifest);
    for (const index of this.addresses.keys()) {
      const settings = this.#toSettings(index, manifestFile);
      const file = children.writeSettings(settings);
      const child = children.start(ENTRY_PROGRAM, ['--settings', file]);
      await child.firstLine();
    }
    await Promise.all(this.addresses.map(address => waitUntilServing(address)));
  }

  #toSettings(index: number, manifestFile: string): object {
    const host = `${this.#network}.${FIRST_HOST + index}`;
    return {
      name: `entry-${index + 1}`,
      vm: `vm-entry-${index + 1}`,
      ...PLACE,
      callers: {address: `${host}:${CALLER_PORT}`},
      operators: {address: `${host}:${OPERATOR_PORT}`},
      platform: {kind: 'embedded', manifestFile},
    };
  }

  #toManifest(
    groups: readonly UpstreamGroup[],
    settings: PolicySettings,
  ): object {
    return {
      name: this.#deployment.name,
      regions: [{name: PLACE.region, zones: [PLACE.zone]}],
      entries: {
        maximum: this.#deployment.entries,
        retryShare: RETRY_SHARE,
      },
      loadWatch: {
        preference: 'tail-first',
        requestsPerSecond: 0,
        bytesPerSecond: 0,
        crossRegionBytesPerSecond: 0,
      },
      services: groups.map(group => toService(group, settings)),
    };
  }
}

/** Name of the service that serves an arm. */
export function toServiceName({options}: UpstreamGroup): string {
  return `${options.arm}-${options.noisiness}`;
}

function toService(group: UpstreamGroup, settings: PolicySettings): object {
  const {arm} = group.options;
  const upstreams: readonly Upstream[] = group.upstreams;
  return {
    name: toServiceName(group),
    policy: arm === 'oracle' ? 'random' : arm,
    queueLimit: QUEUE_LIMIT,
    requests: [
      {
        name: 'lookup',
        methods: ['GET'],
        kind: 'idempotent',
        timeoutMs: settings.timeoutMs,
        retries: RETRIES,
        hedge: settings.hedgedArms.includes(arm),
      },
    ],
    upstreams,
  };
}

async function waitUntilServing(address: string): Promise<void> {
  const lastMs = performance.now() + SERVE_TIMEOUT_MS;
  while (performance.now() < lastMs) {
    const answer = await request(`http://${address}/v1/entries`);
    await answer.body.dump();
    if (answer.statusCode === 200) {
      return;
    }
    await sleep(POLL_MS);
  }
  throw new Error(`${address} did not serve in ${SERVE_TIMEOUT_MS} ms`);
}
