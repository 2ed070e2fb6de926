/**
 * Fetches a newer manifest from peers. Peers of the same region come first; only
 * the gateways of a region go to another one at once, the others after a while,
 * so that a manifest crosses between regions a few times and not once an entry.
 */

import type {Clock} from '@wasabidyke/shared';
import {setTimeout as sleep} from 'node:timers/promises';
import type {PeerClients, PeerTarget} from './peer-clients.js';
import {toTarget, type PeerSelection} from './peer-selection.js';
import type {PeerTimings} from './peer-timings.js';
import type {SenderFields} from './reconciler.js';
import type {Replica} from './replica.js';
import type {Member} from './rows.js';

/** Pause between two looks for a peer that holds it. */
const RETRY_MS = 50;

/** An entry that is no gateway goes to other regions after this part of its deadline. */
const PATIENCE_SHARE = 0.25;

/** Parts of a fetcher. */
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

  /** @returns The text of a record newer than `knownRevision`; undefined when none was had in time. */
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
      const isPatient = elapsedMs < deadlineMs * PATIENCE_SHARE;
      const target = this.#choose(knownRevision, isPatient);
      const record =
        target &&
        (await this.#ask(target, knownRevision, deadlineMs - elapsedMs));
      if (record !== undefined && record !== '') {
        return record;
      }
      await sleep(RETRY_MS);
    }
  }

  async #ask(
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

  #choose(knownRevision: number, isPatient: boolean): PeerTarget | undefined {
    const {replica, selection} = this.#options;
    const holders = this.#findHolders(knownRevision);
    const near = holders.filter(({region}) => region === replica.self.region);
    const isBound = isPatient && !selection.isGateway();
    const candidates = near.length > 0 || isBound ? near : holders;
    const member = selection.pick(candidates);
    return member && toTarget(member);
  }

  /** Members that say, by heartbeat or notice, that a newer one is in force there. */
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
