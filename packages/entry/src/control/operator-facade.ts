/** Answers the operator interface's requests from the state of this entry. */

import type {ManifestRecord} from '@wasabidyke/manifest';
import {
  OperatorService,
  type EntryRow,
  type EntryStatus,
  type LoadWatchStatus,
  type ManifestStatus,
  type ManifestSubmission,
  type Settings,
  type SubmissionAnswer,
  type UpstreamRow,
} from '@wasabidyke/operator';
import type {
  Clock,
  MetricRegistry,
  TimeLine,
  TimeLineEvent,
} from '@wasabidyke/shared';
import type {UpstreamHandle} from '../upstreams/upstream-handle.js';
import type {UpstreamRegistry} from '../upstreams/upstream-registry.js';
import type {EntryStateReader} from './entry-life-cycle.js';
import type {LoadWatch} from './load-watch.js';
import type {ManifestKeeper} from './manifest-keeper.js';
import type {ManifestSource} from './manifest-source.js';
import type {EntryMember, MemberDirectory} from './member-directory.js';

/** Options of `OperatorFacade`. */
export interface OperatorFacadeOptions {
  readonly settings: Settings;
  readonly incarnation: string;
  readonly startedAt: Date;
  readonly stateReader: EntryStateReader;
  readonly keeper: ManifestKeeper;
  readonly source: ManifestSource;
  readonly directory: MemberDirectory;
  readonly registry: UpstreamRegistry;
  readonly loadWatch: LoadWatch;
  readonly timeLine: TimeLine;
  readonly metrics: MetricRegistry;
  readonly clock: Clock;
}

/** Operator service of this entry. */
export class OperatorFacade extends OperatorService {
  readonly #options: OperatorFacadeOptions;

  constructor(options: OperatorFacadeOptions) {
    super();
    this.#options = options;
  }

  override readStatus(): EntryStatus {
    const {settings, incarnation, stateReader, keeper, startedAt} =
      this.#options;
    return {
      entry: settings.name,
      incarnation,
      state: stateReader.state,
      region: settings.region,
      zone: settings.zone,
      vm: settings.vm,
      revision: keeper.revision,
      startedAt: startedAt.toISOString(),
      platform: settings.platform.kind,
    };
  }

  override readManifest(): ManifestRecord | undefined {
    return this.#options.keeper.record;
  }

  override submitManifest(
    submission: ManifestSubmission,
  ): Promise<SubmissionAnswer> {
    return this.#options.source.submit(submission);
  }

  override readManifestStatus(): ManifestStatus {
    const entries = this.#options.directory.members().map(member => ({
      entry: member.entry,
      region: member.region,
      zone: member.zone,
      revision: member.revision,
      ageMs: member.ageMs,
    }));
    const revisions = entries.map(({revision}) => revision);
    const latestRevision = Math.max(
      this.#options.keeper.revision,
      ...revisions,
    );
    return {latestRevision, entries};
  }

  override listEntries(): readonly EntryRow[] {
    return this.#options.directory.members().map(toEntryRow);
  }

  override listUpstreams(): readonly UpstreamRow[] {
    const nowMs = this.#options.clock.now();
    return this.#options.registry.handles.map(handle =>
      toUpstreamRow(handle, nowMs),
    );
  }

  override readLoadWatch(): LoadWatchStatus | undefined {
    return this.#options.loadWatch.readStatus();
  }

  override listEvents(): readonly TimeLineEvent[] {
    return this.#options.timeLine.toArray();
  }

  override renderMetrics(): string {
    return this.#options.metrics.render();
  }
}

function toEntryRow(member: EntryMember): EntryRow {
  return {
    entry: member.entry,
    incarnation: member.incarnation,
    state: member.state,
    region: member.region,
    zone: member.zone,
    address: member.callerAddress,
    revision: member.revision,
    ageMs: member.ageMs,
  };
}

function toUpstreamRow(handle: UpstreamHandle, nowMs: number): UpstreamRow {
  const {load, service, name, address, state} = handle;
  const {region, zone} = load.upstream;
  return {
    service,
    name,
    address,
    region,
    zone,
    state,
    inFlight: load.inFlight,
    latencyMs: load.latencyMs === 0 ? null : load.latencyMs,
    reportAgeMs: load.report ? nowMs - load.report.madeAtMs : null,
    connections: handle.connections,
  };
}
