/** Peer tasks of one process, with links between regions that can be cut. */

import {once} from 'node:events';
import {connect, createServer, type Server, type Socket} from 'node:net';
import {
  createIncarnation,
  PeerHandler,
  PeerTask,
  TcpDialer,
  type LedgerRecord,
  type PeerTimings,
  type SeedPeer,
} from '@wasabidyke/peer';
import {SeededRandom} from '@wasabidyke/policy';
import {
  MetricRegistry,
  Reporter,
  SystemClock,
  TimeLine,
  type Clock,
} from '@wasabidyke/shared';

/** Short periods, so that a feature takes seconds. */
const FAST_TIMINGS: Partial<PeerTimings> = {
  periodMs: 100,
  suspectAfterMs: 2_000,
  deadAfterMs: 30_000,
};

class QuietReporter extends Reporter {
  constructor(clock: Clock) {
    super(new TimeLine('feature', clock, 10), 'text');
  }

  override report(): void {
    // The features look at the state itself.
  }
}

/** Remembers what arrived. */
export class RecordingHandler extends PeerHandler {
  readonly records: LedgerRecord[] = [];
  record = '';
  revision = 0;
  isReplaced = false;

  override onManifestRequest(knownRevision: number): string | undefined {
    return this.revision > knownRevision ? this.record : undefined;
  }

  override onLedgerRecords(records: readonly LedgerRecord[]): string[] {
    this.records.push(...records);
    return records.map(({key}) => key);
  }

  override onRow(): void {
    // The features look at the tables.
  }

  override onReplaced(): void {
    this.isReplaced = true;
  }
}

/** Stands in for a relay that is not there yet, since a way around it could not be cut. */
const CLOSED_PORT = 1;

/** A piece of network before one entry, as callers from one region see it. */
class Relay {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  isCut = false;

  constructor(target: string) {
    const [host, port] = target.split(':');
    this.#server = createServer(socket => {
      this.#track(socket);
      if (this.isCut) {
        socket.resetAndDestroy();
        return;
      }
      const onward = connect(Number(port), host);
      this.#track(onward);
      socket.pipe(onward).pipe(socket);
      socket.once('close', () => onward.destroy());
      onward.once('close', () => socket.destroy());
    });
  }

  get port(): number {
    const address = this.#server.address();
    return typeof address === 'object' ? (address?.port ?? 0) : 0;
  }

  async listen(): Promise<void> {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
  }

  /** Resets all connections. */
  reset(): void {
    for (const socket of this.#sockets) {
      socket.resetAndDestroy();
    }
  }

  close(): void {
    this.#server.close();
    this.reset();
  }

  #track(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => this.#sockets.delete(socket));
  }
}

/** Goes to entries of other regions through their relays. */
class RelayDialer extends TcpDialer {
  readonly #region: string;
  readonly #findRelay: (address: string, from: string) => Relay | undefined;

  constructor(
    region: string,
    findRelay: (address: string, from: string) => Relay | undefined,
  ) {
    super();
    this.#region = region;
    this.#findRelay = findRelay;
  }

  override dial(address: string, region = this.#region): Socket {
    if (region === this.#region) {
      return super.dial(address);
    }
    const port = this.#findRelay(address, this.#region)?.port ?? CLOSED_PORT;
    return super.dial(`127.0.0.1:${port}`);
  }
}

/** One entry's peer task and its surroundings. */
export interface PeerSeat {
  readonly task: PeerTask;
  readonly handler: RecordingHandler;
  readonly registry: MetricRegistry;
}

/** How one entry of a group is set up. */
export interface SeatOptions {
  readonly entry: string;
  readonly region: string;
  readonly clock?: Clock;
}

/** Peer tasks of one process. */
export class PeerGroup {
  readonly seats: PeerSeat[] = [];
  readonly #regions: readonly string[];
  readonly #timings: Partial<PeerTimings>;
  readonly #relays = new Map<string, Relay>();

  /** @param regions Those whose links can be cut. */
  constructor(
    regions: readonly string[] = [],
    timings: Partial<PeerTimings> = FAST_TIMINGS,
  ) {
    this.#regions = regions;
    this.#timings = timings;
  }

  /** Adds and starts one entry. */
  async add(options: SeatOptions): Promise<PeerSeat> {
    const {entry, region, clock = new SystemClock()} = options;
    const handler = new RecordingHandler();
    const registry = new MetricRegistry();
    const task = new PeerTask({
      member: {
        entry,
        incarnation: createIncarnation(),
        callerAddress: '127.0.0.1:1',
        region,
        zone: `${region}-a`,
      },
      listen: {host: '127.0.0.1', port: 0},
      seeds: () => this.#seeds(),
      handler,
      clock,
      registry,
      reporter: new QuietReporter(clock),
      random: new SeededRandom(this.seats.length),
      dialer: this.#createDialer(region),
      timings: this.#timings,
    });
    const seat = {task, handler, registry};
    await task.start();
    await this.#addRelays(task.self.peerAddress, region);
    this.seats.push(seat);
    return seat;
  }

  /** Cuts all links between a region and the others. */
  cut(region: string): void {
    for (const relay of this.#relaysOf(region)) {
      relay.isCut = true;
      relay.reset();
    }
  }

  /** Restores a region's links. */
  restore(region: string): void {
    for (const relay of this.#relaysOf(region)) {
      relay.isCut = false;
    }
  }

  /** Ends all entries. */
  async stop(): Promise<void> {
    await Promise.all(this.seats.map(({task}) => task.stop()));
    for (const relay of this.#relays.values()) {
      relay.close();
    }
  }

  #createDialer(region: string): TcpDialer {
    return this.#regions.length === 0
      ? new TcpDialer()
      : new RelayDialer(region, (address, from) =>
          this.#relays.get(toRelayKey(address, from)),
        );
  }

  async #addRelays(address: string, region: string): Promise<void> {
    for (const from of this.#regions) {
      if (from !== region) {
        const relay = new Relay(address);
        await relay.listen();
        this.#relays.set(toRelayKey(address, from), relay);
      }
    }
  }

  #relaysOf(region: string): readonly Relay[] {
    return this.seats.flatMap(({task}) => {
      const {peerAddress, region: own} = task.self;
      const sources = own === region ? this.#regions : [region];
      const keys = sources.map(from => toRelayKey(peerAddress, from));
      const relays = keys.map(key => this.#relays.get(key));
      return relays.filter(relay => relay !== undefined);
    });
  }

  #seeds(): readonly SeedPeer[] {
    return this.seats.map(({task}) => ({
      address: task.self.peerAddress,
      region: task.self.region,
    }));
  }
}

function toRelayKey(address: string, from: string): string {
  return `${from} ${address}`;
}
