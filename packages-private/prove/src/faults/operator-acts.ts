/** What operators do: change the manifest, race one another, let upstreams leave. */

import type {Manifest} from '@wasabidyke/manifest';
import {Fault, type FaultContext} from './fault.js';

/** Changes the manifest in one way. */
export type ManifestChange = (manifest: Manifest, target: string) => Manifest;

/** An act of operators; it is not ended. */
abstract class OperatorAct extends Fault {
  override async end(): Promise<void> {}
}

/** An operator submits a changed manifest. */
export class SubmitAct extends OperatorAct {
  override readonly targetKind: 'site' | 'worker';
  override readonly historyName = 'submit';
  readonly #change: ManifestChange;

  constructor(targetKind: 'site' | 'worker', change: ManifestChange) {
    super();
    this.targetKind = targetKind;
    this.#change = change;
  }

  override async begin({site}: FaultContext, target: string): Promise<void> {
    const end = await site.submit(this.#change(site.manifest, target));
    if (!end?.isAccepted) {
      return;
    }
    if (this.targetKind === 'worker') {
      const way = 'manifest';
      site.history.record({kind: 'leaving-told', worker: target, way});
    } else {
      site.recordBudget();
    }
  }
}

/** Two operators submit manifests that are based on the same revision. */
export class RaceAct extends OperatorAct {
  override readonly targetKind = 'site';
  override readonly historyName = 'race';

  override async begin({site}: FaultContext): Promise<void> {
    const {manifest, revision} = site;
    const raced = [0.1, 0.3].map(retryShare => ({
      ...manifest,
      entries: {...manifest.entries, retryShare},
    }));
    await Promise.all(
      raced.map((each, entry) => site.submit(each, entry, revision)),
    );
  }
}

/** The VM list says that a worker's VM is leaving. */
export class LeaveByVmListAct extends OperatorAct {
  override readonly targetKind = 'worker';
  override readonly historyName = 'leave-vm-list';

  override async begin(
    {site, sampler}: FaultContext,
    target: string,
  ): Promise<void> {
    const vm = site.workers.get(target)?.place.vm ?? '';
    sampler.awaitDeparture(target);
    await site.changeVm(vm, {state: 'leaving'});
  }
}

/** A manifest in which one upstream is leaving. */
export function markLeaving(manifest: Manifest, target: string): Manifest {
  const services = manifest.services.map(service => ({
    ...service,
    upstreams: service.upstreams.map(upstream =>
      upstream.name === target ? {...upstream, leaving: true} : upstream,
    ),
  }));
  return {...manifest, services};
}

/** A manifest with another budget for watching load, by a factor. */
export function scaleBudget(factor: number): ManifestChange {
  return manifest => {
    const {loadWatch} = manifest;
    return {
      ...manifest,
      loadWatch: {
        ...loadWatch,
        requestsPerSecond: loadWatch.requestsPerSecond * factor,
        bytesPerSecond: loadWatch.bytesPerSecond * factor,
        crossRegionBytesPerSecond: loadWatch.crossRegionBytesPerSecond * factor,
      },
    };
  };
}
