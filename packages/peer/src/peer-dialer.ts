/** Opens sockets to peers. */

import {connect, type Socket} from 'node:net';

/** Opens sockets to peers; implementations choose the transport. */
export abstract class PeerDialer {
  /** Opens a socket. @param address IP address and port. */
  abstract dial(address: string, region: string): Socket;
}

/** Opens plain TCP connections. */
export class TcpDialer extends PeerDialer {
  override dial(address: string): Socket {
    const {hostname, port} = new URL(`http://${address}`);
    const host = hostname.replace(/^\[|\]$/g, '');
    const socket = connect({host, port: Number(port || '80')});
    socket.setNoDelay(true);
    return socket;
  }
}
