/** A TCP link that can delay, cut and silence what it carries. */

import {once} from 'node:events';
import {connect, createServer, type Server, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {LinkSettings, LinkState} from './settings.js';

/** Connections of one link; further ones are reset. */
const MAXIMUM_CONNECTIONS = 1_024;

/** How often a target that refuses connections is tried again, in milliseconds. */
const VERIFY_PERIOD_MS = 10;

/** Bytes and connections that a link carried. */
export interface LinkCounts {
  bytesForward: number;
  bytesBack: number;
  connections: number;
}

/** What is done to some connections of a link, beside its own state. */
export interface LinkCut {
  readonly mode: LinkState['mode'];
  /** Called before it is asked about a new connection, which waits for it. */
  onConnection(callerPort: number): Promise<void>;
  /** Whether it affects the connection that was opened from a port. */
  affects(callerPort: number): boolean;
}

type Direction = 'forward' | 'back';

/** Bytes, an end or a close on their way. */
interface Delivery {
  readonly dueMs: number;
  readonly action: () => void;
}

/** One link. */
export class Link {
  readonly settings: LinkSettings;
  readonly counts: LinkCounts = {bytesForward: 0, bytesBack: 0, connections: 0};
  readonly #server: Server;
  readonly #pipes = new Set<LinkPipe>();
  readonly #cuts = new Set<LinkCut>();
  /** Ports from which connections were opened, by the ports from which the link opened theirs. */
  readonly #callerPorts = new Map<number, number>();
  #state: LinkState;
  #address: string;
  #isVerifying = false;
  #isClosed = false;

  constructor(settings: LinkSettings) {
    this.settings = settings;
    this.#state = settings;
    this.#address = settings.listen;
    this.#server = createServer(socket => void this.#onConnection(socket));
  }

  get state(): LinkState {
    return this.#state;
  }

  /** Listens. Returns the address with its actual port. */
  async listen(): Promise<string> {
    const [host, port] = this.#address.split(':');
    this.#server.listen(Number(port), host);
    await once(this.#server, 'listening');
    const bound = this.#server.address();
    const actualPort = typeof bound === 'object' ? bound?.port : port;
    this.#address = `${host}:${actualPort}`;
    return this.#address;
  }

  /** Changes the link, and all its connections with it. */
  change(change: Partial<LinkState>): void {
    this.#state = {...this.#state, ...change};
    this.#apply();
  }

  /** Does something to some connections until `removeCut`. */
  addCut(cut: LinkCut): void {
    this.#cuts.add(cut);
    this.#apply();
  }

  removeCut(cut: LinkCut): void {
    this.#cuts.delete(cut);
    this.#apply();
  }

  /** The port from which a connection was opened that the link carries on from another port. */
  callerPortOf(port: number): number | undefined {
    return this.#callerPorts.get(port);
  }

  /** The mode of the connection that was opened from a port. */
  modeOf(callerPort: number): LinkState['mode'] {
    const cut = [...this.#cuts].find(other => other.affects(callerPort));
    return cut?.mode ?? this.#state.mode;
  }

  #apply(): void {
    for (const pipe of this.#pipes) {
      pipe.apply();
    }
  }

  /** Stops listening; open connections live on until their ends close them. */
  close(): void {
    this.#isClosed = true;
    this.#server.close();
  }

  async #onConnection(socket: Socket): Promise<void> {
    this.counts.connections += 1;
    const callerPort = socket.remotePort ?? 0;
    if (this.#cuts.size > 0) {
      // Its pipe handles errors, once there is one.
      const destroy = () => socket.destroy();
      socket.on('error', destroy);
      await Promise.all(
        [...this.#cuts].map(cut => cut.onConnection(callerPort)),
      );
      socket.off('error', destroy);
    }
    if (socket.destroyed) {
      return;
    }
    const mode = this.modeOf(callerPort);
    if (
      mode === 'reset' ||
      mode === 'refusing' ||
      this.#pipes.size > 2 * MAXIMUM_CONNECTIONS
    ) {
      socket.resetAndDestroy();
      return;
    }
    const target = this.#connect();
    target.once('close', () => void this.#verifyTarget());
    target.once('connect', () => {
      const {localPort = 0} = target;
      this.#callerPorts.set(localPort, callerPort);
      target.once('close', () => this.#callerPorts.delete(localPort));
    });
    this.#pipe('forward', socket, target, callerPort);
    this.#pipe('back', target, socket, callerPort);
  }

  #connect(): Socket {
    const [host, port] = this.settings.target.split(':');
    return connect(Number(port), host);
  }

  /** Refuses connections while the target does, as the target itself would. */
  async #verifyTarget(): Promise<void> {
    if (this.#isVerifying) {
      return;
    }
    this.#isVerifying = true;
    while (!this.#isClosed && !(await isOpen(this.#connect()))) {
      this.#server.close();
      await sleep(VERIFY_PERIOD_MS);
    }
    if (!this.#isClosed && !this.#server.listening) {
      await this.listen();
    }
    this.#isVerifying = false;
  }

  #pipe(
    direction: Direction,
    from: Socket,
    to: Socket,
    callerPort: number,
  ): void {
    const pipe = new LinkPipe(this, direction, from, to, callerPort);
    this.#pipes.add(pipe);
    pipe.apply();
    from.once('close', () => this.#pipes.delete(pipe));
  }
}

/** One direction of one connection. */
class LinkPipe {
  readonly #link: Link;
  readonly #direction: Direction;
  readonly #from: Socket;
  readonly #to: Socket;
  /** Port from which the connection was opened. */
  readonly #callerPort: number;
  /** What is still to be carried, in the order in which it came. */
  readonly #queue: Delivery[] = [];
  #timer: NodeJS.Timeout | undefined;

  constructor(
    link: Link,
    direction: Direction,
    from: Socket,
    to: Socket,
    callerPort: number,
  ) {
    this.#link = link;
    this.#callerPort = callerPort;
    this.#direction = direction;
    this.#from = from;
    this.#to = to;
    from.setNoDelay();
    from.on('data', chunk => this.#carry(chunk));
    from.on('end', () => this.#later(() => to.end()));
    from.on('error', () => to.resetAndDestroy());
    from.on('close', () => this.#later(() => to.destroySoon()));
    to.on('drain', () => this.apply());
  }

  /** Follows the mode of its connection. */
  apply(): void {
    const mode = this.#link.modeOf(this.#callerPort);
    if (mode === 'reset') {
      this.#from.resetAndDestroy();
      return;
    }
    const isSilent =
      mode === 'silent' || (mode === 'half-open' && this.#direction === 'back');
    if (isSilent) {
      this.#from.pause();
    } else {
      this.#from.resume();
    }
  }

  #carry(chunk: Buffer): void {
    const counter =
      this.#direction === 'forward' ? 'bytesForward' : 'bytesBack';
    this.#link.counts[counter] += chunk.length;
    this.#later(() => {
      if (!this.#to.destroyed && !this.#to.write(chunk)) {
        this.#from.pause();
      }
    });
  }

  /** Does it after the link's delay, and never before what came earlier, though the delay may have fallen. */
  #later(action: () => void): void {
    const earliestMs = performance.now() + this.#link.state.delayMs;
    const lastMs = this.#queue.at(-1)?.dueMs ?? earliestMs;
    this.#queue.push({dueMs: Math.max(earliestMs, lastMs), action});
    this.#deliver();
  }

  #deliver(): void {
    clearTimeout(this.#timer);
    while (this.#queue.length > 0) {
      const leftMs = this.#queue[0].dueMs - performance.now();
      if (leftMs > 0) {
        this.#timer = setTimeout(() => this.#deliver(), Math.ceil(leftMs));
        return;
      }
      this.#queue.shift()?.action();
    }
  }
}

async function isOpen(socket: Socket): Promise<boolean> {
  try {
    await once(socket, 'connect');
    return true;
  } catch {
    return false;
  } finally {
    socket.destroy();
  }
}
