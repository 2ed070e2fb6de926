/** Registers the parts that connect an entry to other entries, in place of those of a standalone entry. */

import {
  formatSocketAddress,
  parseSocketAddress,
  type SocketAddress,
} from '@wasabidyke/operator';
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
import {VmListPoller} from './control/vm-list-poller.js';
import {LedgerHandOver} from './at-most-once/ledger-hand-over.js';

/** Parts that only an entry with peers has. */
export interface PeerCradle {
  vmList: VmList;
  vmListPoller: VmListPoller;
  peerLink: PeerLink;
  peerTask: PeerTask;
  ledgerHandOver: LedgerHandOver;
}

/** Time limit for a read of the VM list. */
const VM_LIST_TIMEOUT_MS = 2_000;

/** Registers the parts of an entry with peers. */
export function registerPeers(container: EntryContainer): void {
  registerPeerProtocol(container);
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
          vmListPoller: cradle.vmListPoller,
          keeper: cradle.keeper,
          tracker: cradle.departureTracker,
          ledgerHandOver: cradle.ledgerHandOver,
        }),
    ).singleton(),
  });
}

function registerPeerProtocol(container: AwilixContainer<EntryCradle>): void {
  container.register({
    vmList: asFunction(createVmList).singleton(),
    vmListPoller: asFunction(
      (cradle: EntryCradle) =>
        new VmListPoller({
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
          onDeparture: target =>
            cradle.departureTracker.onPeerDeparture(target),
          onReplaced: () => {},
        }),
    ).singleton(),
    peerTask: asFunction(createPeerTask).singleton(),
  });
}

function createVmList({settings}: EntryCradle): VmList {
  const {platform} = settings;
  if (platform.kind !== 'etcd') {
    throw new Error(
      'The setting "peers" needs platform.kind "etcd": other entries are found in the platform\'s VM list.',
    );
  }
  const {url} = platform.vmList;
  return new HttpVmList({url, callTimeoutMs: VM_LIST_TIMEOUT_MS});
}

function createPeerTask(cradle: EntryCradle): PeerTask {
  const {settings} = cradle;
  const listen = parseListenAddress(settings.peers?.address ?? '');
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

/** Addresses of live entry VMs. All entries use the same port for peer connections. */
function listSeeds(cradle: EntryCradle, port: number): readonly SeedPeer[] {
  return cradle.vmListPoller.vms
    .filter(vm => vm.role === 'entry' && vm.state === 'live')
    .map(vm => ({
      address: formatSocketAddress({host: vm.address, port}),
      region: vm.region,
    }));
}

function parseListenAddress(text: string): SocketAddress {
  const address = parseSocketAddress(text);
  if (address === undefined) {
    throw new Error(
      `The setting peers.address is "${text}", which is not an address of the form host:port.`,
    );
  }
  return address;
}
