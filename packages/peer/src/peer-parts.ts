/** Creates and connects the parts of a `PeerTask`. */

import {Exchanger} from './exchanger.js';
import {ManifestFetcher} from './manifest-fetcher.js';
import {PeerClients} from './peer-clients.js';
import {TcpDialer} from './peer-dialer.js';
import {PeerMetrics} from './peer-metrics.js';
import type {PeerTaskOptions} from './peer-options.js';
import {PeerSelection} from './peer-selection.js';
import {DEFAULT_PEER_TIMINGS, type PeerTimings} from './peer-timings.js';
import {Reconciler} from './reconciler.js';
import {Replica, type ReplicaListener} from './replica.js';
import type {Member} from './rows.js';
import {Spreader} from './spreader.js';
import {WireMeter} from './wire-meter.js';

/** The parts of a `PeerTask`. */
export interface PeerParts {
  readonly timings: PeerTimings;
  readonly metrics: PeerMetrics;
  readonly meter: WireMeter;
  readonly replica: Replica;
  readonly reconciler: Reconciler;
  readonly clients: PeerClients;
  readonly selection: PeerSelection;
  readonly spreader: Spreader;
  readonly exchanger: Exchanger;
  readonly fetcher: ManifestFetcher;
}

/** Creates and connects the parts of a `PeerTask`. */
export function createPeerParts(
  options: PeerTaskOptions,
  listener: ReplicaListener,
): PeerParts {
  const {clock, limits, random, seeds, dialer = new TcpDialer()} = options;
  const ownRegion = options.member.region;
  const timings = {...DEFAULT_PEER_TIMINGS, ...options.timings};
  const metrics = new PeerMetrics(options.registry);
  const meter = new WireMeter(metrics);
  const self = createOwnMember(options);
  const commonOptions = {clock, timings, metrics};
  const replica = new Replica({...commonOptions, self, limits, listener});
  const reconciler = new Reconciler(replica, metrics);
  const clients = new PeerClients({...commonOptions, ownRegion, dialer, meter});
  const selection = new PeerSelection(replica, random, seeds);
  const sender = () => reconciler.sender();
  const callOptions = {...commonOptions, replica, clients, selection, sender};
  const spreader = new Spreader(callOptions);
  const fetcher = new ManifestFetcher(callOptions);
  const exchanger = new Exchanger({
    ownRegion,
    clients,
    reconciler,
    spreader,
    timings,
  });
  return {...callOptions, meter, reconciler, spreader, exchanger, fetcher};
}

function createOwnMember({member, listen, clock}: PeerTaskOptions): Member {
  return {
    entry: member.entry,
    incarnation: member.incarnation,
    state: 'joining',
    callerAddress: member.callerAddress,
    peerAddress: member.peerAddress ?? `${listen.host}:${listen.port}`,
    region: member.region,
    zone: member.zone,
    startedAtMs: Math.floor(clock.wallTime()),
    homes: [],
    heartbeat: 0,
    load: 0,
    revision: 0,
  };
}
