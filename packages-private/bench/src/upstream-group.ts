/** The upstreams of one arm: one stand-in process that hosts all workers of its service. */

import type {Upstream} from '@wasabidyke/manifest';
import {request} from 'undici';
import type {Child, ChildGroup} from './child-process.js';
import type {Deployment} from './deployment.js';
import type {ArmName, Noisiness, PolicySettings} from './policy-settings.js';

/** The program of the stand-in. */
const UPSTREAM_PROGRAM = new URL(
  'upstream/main.js',
  import.meta.resolve('@wasabidyke/stand-ins'),
).pathname;

/** Region and availability zone of everything measured here. */
export const PLACE = {region: 'north', zone: 'north-a'} as const;

/** What the upstreams of an arm are. */
export interface UpstreamGroupOptions {
  readonly deployment: Deployment;
  readonly arm: ArmName;
  readonly noisiness: Noisiness;
  /** First three octets of the workers' addresses. */
  readonly network: string;
  readonly port: number;
}

/** The upstreams of one arm. */
export class UpstreamGroup {
  readonly options: UpstreamGroupOptions;
  readonly upstreams: readonly Upstream[];
  #child: Child | undefined;
  #control = '';

  constructor(options: UpstreamGroupOptions) {
    this.options = options;
    const {deployment, network, port} = options;
    this.upstreams = Array.from({length: deployment.workers}, (_, index) => ({
      name: `worker-${index + 1}`,
      address: `${network}.${index + 1}:${port}`,
      ...PLACE,
      vm: `vm-${Math.floor(index / deployment.workersPerVm) + 1}`,
      slots: deployment.slots,
      connections: deployment.connections,
      leaving: false,
    }));
  }

  /** Starts the process and waits until it serves. */
  async start(children: ChildGroup, settings: PolicySettings): Promise<void> {
    const file = children.writeSettings(this.#toSettings(settings));
    this.#child = children.start(UPSTREAM_PROGRAM, ['--settings', file]);
    const ready = JSON.parse(await this.#child.firstLine()) as {
      control: string;
    };
    this.#control = ready.control;
  }

  /** Sets the age that reports have. */
  async setReportLag(reportLagMs: number): Promise<void> {
    const answer = await request(`http://${this.#control}/change`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify({faults: {reportLagMs}}),
    });
    await answer.body.dump();
    if (answer.statusCode !== 200) {
      throw new Error(`the stand-in refused a change: ${answer.statusCode}`);
    }
  }

  #toSettings(settings: PolicySettings): object {
    const {deployment, arm, noisiness} = this.options;
    const vms = new Set(this.upstreams.map(upstream => upstream.vm));
    const noise = {
      factor: settings.noiseFactor,
      meanBusyMs: settings.noiseMeanBusyRuns * settings.serviceMeanMs,
      meanQuietMs: settings.noiseMeanQuietRuns * settings.serviceMeanMs,
    };
    return {
      process: `${arm}-${noisiness}`,
      seed: settings.seed,
      isOracle: arm === 'oracle',
      noise:
        noisiness === 'calm'
          ? {}
          : Object.fromEntries([...vms].map(vm => [vm, noise])),
      workers: this.upstreams.map(({name, address, vm, slots}) => ({
        name,
        address,
        vm,
        slots,
        service: deployment.service,
        queueLimit: slots * settings.queuePerSlot,
        serviceTime: {
          meanMs: settings.serviceMeanMs,
          distribution: 'log-normal',
          sigma: settings.serviceSigma,
        },
      })),
    };
  }
}
