/** Wires what an entry does together with other entries. */

import {parseSocketAddress, type SocketAddress} from '@wasabidyke/operator';
import {PeerTask, type SeedPeer} from '@wasabidyke/peer';
import {HttpVmList, type VmList} from '@wasabidyke/store';
import {asFunction, type AwilixContainer} from 'awilix';
import type {EntryContainer, EntryCradle} from './container.js';
import {PeerGroup} from './control/entry-group.js';
import {
  HeartbeatIssueCounter,
  PeerDirectory,
  PeerLink,
  PeerSuspectNotifier,
} from './control/peer-link.js';
import {VmWatch} from './control/vm-watch.js';
import {LedgerHandOver} from './once/ledger-hand-over.js';

/** The parts of an entry that has others beside it. */
export interface PeerCradle {
  vmList: VmList;
  vmWatch: VmWatch;
  peerLink: PeerLink;
  peerTask: PeerTask;
  ledgerHandOver: LedgerHandOver;
}

/** Time for the list of VMs to be read. */
const VM_LIST_TIMEOUT_MS = 2_000;

/** Registers the parts that talk to other entries. */
export function registerPeers(container: EntryContainer): void {
  registerTalk(container);
  container.register({
    isWatcher: asFunction(
      ({peerTask}: EntryCradle) =>
        () =>
          peerTask.isGateway(),
    ).singleton(),
    directory: asFunction(
      ({peerTask}: EntryCradle) => new PeerDirectory(peerTask),
    ).singleton(),
    issueCounter: asFunction(
      ({peerTask}: EntryCradle) => new HeartbeatIssueCounter(peerTask),
    ).singleton(),
    suspectNotifier: asFunction(
      ({peerTask, clock}: EntryCradle) =>
        new PeerSuspectNotifier(peerTask, clock),
    ).singleton(),
    departurePublisher: asFunction(
      ({peerLink}: EntryCradle) => peerLink,
    ).singleton(),
    ledgerHandOver: asFunction(
      (cradle: EntryCradle) =>
        new LedgerHandOver({
          task: cradle.peerTask,
          ledger: cradle.ledger,
          adopted: cradle.adopted,
          issuer: cradle.issuer,
          clock: cradle.clock,
          reporter: cradle.reporter,
        }),
    ).singleton(),
    group: asFunction(
      (cradle: EntryCradle) =>
        new PeerGroup({
          task: cradle.peerTask,
          link: cradle.peerLink,
          vmWatch: cradle.vmWatch,
          keeper: cradle.keeper,
          tracker: cradle.departureTracker,
          ledgerHandOver: cradle.ledgerHandOver,
        }),
    ).singleton(),
  });
}

function registerTalk(container: AwilixContainer<EntryCradle>): void {
  container.register({
    vmList: asFunction(createVmList).singleton(),
    vmWatch: asFunction(
      (cradle: EntryCradle) =>
        new VmWatch({
          vmList: cradle.vmList,
          isReader: () => cradle.peerTask.isGateway(),
          onVms: vms => cradle.departureTracker.onVms(vms),
          metrics: cradle.metrics,
        }),
    ).singleton(),
    peerLink: asFunction(
      (cradle: EntryCradle) =>
        new PeerLink({
          keeper: cradle.keeper,
          adopted: cradle.adopted,
          crashGuard: cradle.crashGuard,
          incarnation: cradle.incarnation,
          clock: cradle.clock,
          onDeparture: target => cradle.departureTracker.onTold(target),
          onReplaced: () => {},
        }),
    ).singleton(),
    peerTask: asFunction(createPeerTask).singleton(),
  });
}

function createVmList({settings}: EntryCradle): VmList {
  const {platform} = settings;
  if (platform.kind !== 'etcd') {
    throw new Error('Other entries are found only through a platform.');
  }
  const {url} = platform.vmList;
  return new HttpVmList({url, callTimeoutMs: VM_LIST_TIMEOUT_MS});
}

function createPeerTask(cradle: EntryCradle): PeerTask {
  const {settings} = cradle;
  const listen = toListenAddress(settings.peers?.address ?? '');
  return new PeerTask({
    member: {
      entry: settings.name,
      incarnation: cradle.incarnation,
      callerAddress: settings.callers.address,
      region: settings.region,
      zone: settings.zone,
    },
    listen,
    seeds: () => listSeeds(cradle, listen.port),
    handler: cradle.peerLink,
    clock: cradle.clock,
    registry: cradle.metrics,
    reporter: cradle.reporter,
    random: cradle.random,
  });
}

/** All entries listen for each other at the same port. */
function listSeeds(cradle: EntryCradle, port: number): readonly SeedPeer[] {
  return cradle.vmWatch.vms
    .filter(vm => vm.role === 'entry' && vm.state === 'live')
    .map(vm => ({address: `${vm.address}:${port}`, region: vm.region}));
}

function toListenAddress(text: string): SocketAddress {
  const address = parseSocketAddress(text);
  if (address === undefined) {
    throw new Error(`"${text}" is no address for other entries.`);
  }
  return address;
}
