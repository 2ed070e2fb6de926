/** A link to one port of an entry, which takes its time, and can be cut for the connections of some processes. */

import {once} from 'node:events';
import {readdirSync, readFileSync, readlinkSync} from 'node:fs';
import {connect, createServer} from 'node:net';

/** TCP sockets of this machine, one a line: both addresses in hexadecimal, and then the inode among other fields. */
const SOCKET_TABLE = '/proc/net/tcp';
const LOOPBACK_ADDRESS = '0100007F';
const INODE_FIELD = 8;

/** A link. While it is cut, packets of the connections concerned are dropped without a word. */
export class Link {
  #targetPort;
  #delayMs;
  #port;
  #pipes = new Set();
  #isCut = () => false;
  #server = createServer({pauseOnConnect: true}, socket => {
    this.#onConnection(socket);
  });

  /** @param delayMs Time that bytes take in each direction. */
  constructor(targetPort, delayMs = 0) {
    this.#targetPort = targetPort;
    this.#delayMs = delayMs;
  }

  /** Listens on a free port. Returns the address. */
  async listen() {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    this.#port = this.#server.address().port;
    this.address = `127.0.0.1:${this.#port}`;
    return this.address;
  }

  /** Cuts the connections that were opened by some processes; `undefined` for all. */
  cut(pids) {
    this.#isCut = port =>
      pids === undefined || pids.some(pid => this.#isOwnedBy(pid, port));
    this.#pipes.forEach(pipe => pipe.apply());
  }

  /** Ends the cut. What was held back on open connections is delivered, as TCP does. */
  mend() {
    this.#isCut = () => false;
    this.#pipes.forEach(pipe => pipe.apply());
  }

  /** Whether a process opened the connection to this link from a port. */
  #isOwnedBy(pid, port) {
    const addresses = [port, this.#port].map(toAddress).join(' ');
    const table = readFileSync(SOCKET_TABLE, 'latin1');
    const start = table.indexOf(` ${addresses} `);
    if (start === -1) {
      return false;
    }
    const [rest] = table.slice(start).split('\n', 1);
    const name = `socket:[${rest.trim().split(/\s+/)[INODE_FIELD]}]`;
    const directory = `/proc/${pid}/fd`;
    return readdirSync(directory).some(descriptor => {
      try {
        return readlinkSync(`${directory}/${descriptor}`) === name;
      } catch {
        // The descriptor was closed meanwhile.
        return false;
      }
    });
  }

  #onConnection(socket) {
    const {remotePort} = socket;
    if (remotePort === undefined) {
      // It was closed before it was accepted.
      socket.destroy();
      return;
    }
    const pipe = {
      apply: () => {
        const isCut = this.#isCut(remotePort);
        if (isCut && pipe.isOpen) {
          socket.pause();
          pipe.target.pause();
        } else if (!isCut) {
          pipe.open();
        }
        pipe.isCut = isCut;
      },
      open: () => {
        if (!pipe.isOpen) {
          pipe.isOpen = true;
          pipe.target = connect(this.#targetPort, '127.0.0.1');
          join(socket, pipe.target, pipe, this.#delayMs);
          join(pipe.target, socket, pipe, this.#delayMs);
        }
        socket.resume();
        pipe.target.resume();
      },
    };
    this.#pipes.add(pipe);
    socket.on('error', () => {});
    socket.on('close', () => this.#pipes.delete(pipe));
    pipe.apply();
  }
}

/** Passes on bytes, and the end of a connection unless it is cut. */
function join(from, to, pipe, delayMs) {
  const later = act => (delayMs > 0 ? setTimeout(act, delayMs) : act());
  from.on('data', chunk =>
    later(() => {
      if (!to.destroyed && !to.write(chunk)) {
        from.pause();
      }
    }),
  );
  to.on('drain', () => pipe.isCut || from.resume());
  from.on('error', () => {});
  from.on('end', () => later(() => to.end()));
  from.on('close', () => later(() => pipe.isCut || to.destroy()));
}

/** Puts a link before the feed port of each entry, and its address into the announcements, as address translation does. */
export async function linkEntries(entries, store, delayMs) {
  const links = new Map();
  for (const {name, feed} of entries) {
    const link = new Link(feed, delayMs);
    await link.listen();
    links.set(name, link);
  }
  store.translate = (key, text) => {
    const link = links.get(key.replace('entries/', ''));
    return link === undefined
      ? text
      : JSON.stringify({...JSON.parse(text), feedAddress: link.address});
  };
  return links;
}

/** A port of 127.0.0.1 as the socket table writes it. */
function toAddress(port) {
  const text = port.toString(16).toUpperCase().padStart(4, '0');
  return `${LOOPBACK_ADDRESS}:${text}`;
}
