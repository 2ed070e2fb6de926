/** Ports that nobody listens at. */

import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';

/** Finds free ports of the loopback address; all are different. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const servers = Array.from({length: count}, () => createServer());
  for (const server of servers) {
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  }
  const ports = servers.map(server => (server.address() as AddressInfo).port);
  await Promise.all(servers.map(server => once(server.close(), 'close')));
  return ports;
}
