/** Which entry's process owns a connection, told by the operating system. */

import {readdirSync, readFileSync, readlinkSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import type {EntryProcess} from './entry-process.js';

/** Time in which connections are gathered whose owners are looked up together, in milliseconds: a few percent of the process's time. */
const GATHERING_MS = 200;

/** TCP sockets of this machine, one a line: local address and inode among other fields. */
const SOCKET_TABLE = '/proc/net/tcp';
const LOCAL_ADDRESS_FIELD = 1;
const INODE_FIELD = 9;
const HEXADECIMAL = 16;

/** Knows the owners of connections. */
export class EntrySockets {
  readonly #entries: () => readonly EntryProcess[];
  /** The entries that own sockets, by local port. */
  #owners: ReadonlyMap<number, EntryProcess> = new Map();
  #refreshing: Promise<void> | undefined;

  constructor(entries: () => readonly EntryProcess[]) {
    this.#entries = entries;
  }

  /** The entry whose process owns the socket at a local port, as far as known; undefined if none does. */
  ownerOf(port: number): EntryProcess | undefined {
    return this.#owners.get(port);
  }

  /** Refreshes once for all that ask within a short time: a look at all sockets takes tens of milliseconds, in which no stand-in answers. */
  refreshSoon(): Promise<void> {
    this.#refreshing ??= sleep(GATHERING_MS).then(() => {
      this.#refreshing = undefined;
      this.refresh();
    });
    return this.#refreshing;
  }

  /** Finds out who owns the sockets that are open now. */
  refresh(): void {
    const owners = new Map<string, EntryProcess>();
    for (const entry of this.#entries()) {
      inodesOf(entry.pid).forEach(inode => owners.set(inode, entry));
    }
    const ports = new Map<number, EntryProcess>();
    for (const line of readFileSync(SOCKET_TABLE, 'utf8').split('\n')) {
      const fields = line.trim().split(/\s+/);
      const owner = owners.get(fields[INODE_FIELD]);
      if (owner !== undefined) {
        const [, port] = fields[LOCAL_ADDRESS_FIELD].split(':');
        ports.set(Number.parseInt(port, HEXADECIMAL), owner);
      }
    }
    this.#owners = ports;
  }
}

function inodesOf(pid: number | undefined): ReadonlySet<string> {
  const inodes = new Set<string>();
  const directory = `/proc/${pid}/fd`;
  for (const descriptor of list(directory)) {
    const inode = /^socket:\[(\d+)\]$/.exec(read(`${directory}/${descriptor}`));
    if (inode !== null) {
      inodes.add(inode[1]);
    }
  }
  return inodes;
}

function list(directory: string): readonly string[] {
  try {
    return readdirSync(directory);
  } catch {
    // The process has ended meanwhile.
    return [];
  }
}

function read(link: string): string {
  try {
    return readlinkSync(link);
  } catch {
    // The descriptor was closed meanwhile.
    return '';
  }
}
