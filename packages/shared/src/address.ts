/** Parses and formats socket addresses, such as those in settings and on the command line. */

import {BlockList, isIPv4, isIPv6} from 'node:net';

/** Highest valid TCP port. */
const MAXIMUM_PORT = 65_535;

/** An IP address and a port. */
export interface SocketAddress {
  readonly host: string;
  /** With 0, the operating system chooses a free port. */
  readonly port: number;
}

const loopback = new BlockList();
loopback.addSubnet('127.0.0.0', 8, 'ipv4');
loopback.addAddress('::1', 'ipv6');

/**
 * Parses `192.0.2.7:8080` or `[2001:db8::7]:8080`.
 * @returns undefined unless `text` is an IP address with a port.
 */
export function parseSocketAddress(text: string): SocketAddress | undefined {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(0|[1-9]\d{0,4})$/.exec(text);
  if (match === null) {
    return undefined;
  }
  const [, host6, host4, portText] = match;
  const port = Number(portText);
  const isValidHost = host6 === undefined ? isIPv4(host4) : isIPv6(host6);
  if (!isValidHost || port > MAXIMUM_PORT) {
    return undefined;
  }
  return {host: host6 ?? host4, port};
}

/** Formats an address so that `parseSocketAddress` can parse it. */
export function formatSocketAddress({host, port}: SocketAddress): string {
  return isIPv6(host) ? `[${host}]:${port}` : `${host}:${port}`;
}

/** Whether `host` is a loopback address, which only processes on the same machine can reach. */
export function isLoopbackHost(host: string): boolean {
  return loopback.check(host, isIPv6(host) ? 'ipv6' : 'ipv4');
}
