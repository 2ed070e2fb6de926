/**
 * Fetches a newer manifest from peers. Peers of the same region are preferred;
 * only the gateways of a region ask another region at once, other entries after a
 * delay, so that a manifest crosses regions a few times instead of once per entry.
 */

import type {Clock} from '@wasabidyke/shared';
import {setTimeout as sleep} from 'node:timers/promises';
import type {PeerClients, PeerTarget} from './peer-clients.js';
import {toTarget, type PeerSelection} from './peer-selection.js';
import type {PeerTimings} from './peer-timings.js';
import type {SenderFields} from './reconciler.js';
import type {Replica} from './replica.js';
import type {Member} from './rows.js';

/** Delay between two attempts to fetch the manifest. */
const RETRY_DELAY_MS = 50;

/** An entry that is no gateway asks other regions only after this share of its deadline. */
const SAME_REGION_SHARE = 0.25;

/** Options of `ManifestFetcher`. */
export interface ManifestFetcherOptions {
  readonly replica: Replica;
  readonly clients: PeerClients;
  readonly selection: PeerSelection;
  readonly timings: PeerTimings;
  readonly clock: Clock;
  readonly sender: () => SenderFields;
}

/** Fetches a newer manifest from peers. */
export class ManifestFetcher {
  readonly #options: ManifestFetcherOptions;

  constructor(options: ManifestFetcherOptions) {
    this.#options = options;
  }

  /** @returns The text of a record newer than `knownRevision`; undefined when none arrived within `deadlineMs`. */
  async fetch(
    knownRevision: number,
    deadlineMs: number,
  ): Promise<string | undefined> {
    const {clock} = this.#options;
    const startedAtMs = clock.now();
    for (;;) {
      const elapsedMs = clock.now() - startedAtMs;
      if (elapsedMs >= deadlineMs) {
        return undefined;
      }
      const prefersSameRegion = elapsedMs < deadlineMs * SAME_REGION_SHARE;
      const target = this.#choose(knownRevision, prefersSameRegion);
      const record =
        target &&
        (await this.#fetchFrom(target, knownRevision, deadlineMs - elapsedMs));
      if (record !== undefined && record !== '') {
        return record;
      }
      await sleep(RETRY_DELAY_MS);
    }
  }

  async #fetchFrom(
    target: PeerTarget,
    knownRevision: number,
    remainingMs: number,
  ): Promise<string | undefined> {
    const {clients, timings, sender} = this.#options;
    const timeoutMs = Math.min(timings.transferTimeoutMs, remainingMs);
    const request = {sender: sender(), knownRevision};
    const answer = await clients.call(
      target,
      'fetch-manifest',
      timeoutMs,
      (client, options) => client.fetchManifest(request, options),
    );
    return answer.isOk() ? answer.value.record : undefined;
  }

  #choose(
    knownRevision: number,
    prefersSameRegion: boolean,
  ): PeerTarget | undefined {
    const {replica, selection} = this.#options;
    const holders = this.#findHolders(knownRevision);
    const sameRegionHolders = holders.filter(
      ({region}) => region === replica.self.region,
    );
    const isSameRegionOnly = prefersSameRegion && !selection.isGateway();
    const candidates =
      sameRegionHolders.length > 0 || isSameRegionOnly
        ? sameRegionHolders
        : holders;
    const member = selection.pick(candidates);
    return member && toTarget(member);
  }

  /** Returns the members whose heartbeat or notice announces a newer manifest. */
  #findHolders(knownRevision: number): readonly Member[] {
    const {replica} = this.#options;
    const publishers = new Set(
      replica.table
        .rows('manifest-notice')
        .filter(({value}) => value.revision > knownRevision)
        .map(({value}) => value.publisher),
    );
    return replica
      .reachable()
      .filter(
        ({entry, revision}) =>
          revision > knownRevision || publishers.has(entry),
      );
  }
}
