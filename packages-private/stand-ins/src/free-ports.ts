/** Ports that nobody listens at. */

import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {createServer} from 'node:net';

/** Ports that the system gives to nobody by itself: its own choice begins at 32,768 on Linux. */
const FIRST_PORT = 15_000;
const LAST_PORT = 32_000;

/** Finds free ports of the loopback address; all are different, and stay free of connections that choose none. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  let port = randomInt(FIRST_PORT, LAST_PORT);
  while (ports.length < count) {
    port = port >= LAST_PORT ? FIRST_PORT : port + 1;
    if (await isFree(port)) {
      ports.push(port);
    }
  }
  return ports;
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  try {
    server.listen(port, '127.0.0.1');
    await once(server, 'listening');
  } catch {
    // Somebody listens there.
    return false;
  }
  server.close();
  await once(server, 'close');
  return true;
}
