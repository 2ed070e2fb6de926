/** Runs a stand-in with a control port as a process of its own. */

import {Command} from 'commander';
import type {FastifyInstance} from 'fastify';
import {parseAddress} from './switched-server.js';

/** A stand-in that can be opened and closed. */
export interface StandIn {
  readonly address: string;
  open(): Promise<void>;
  close(): Promise<void>;
}

/** A stand-in and its control port. */
export interface ControlledStandIn {
  readonly standIn: StandIn;
  readonly control: FastifyInstance;
}

/**
 * Reads the command line, listens, prints `{"ready":true,...}` as one line,
 * and closes on SIGINT or SIGTERM.
 */
export async function runStandIn(
  name: string,
  create: (address: string) => ControlledStandIn,
): Promise<void> {
  const options = new Command(name)
    .option('--address <host:port>', 'where to serve', '127.0.0.1:0')
    .option('--control <host:port>', 'where to take control', '127.0.0.1:0')
    .parse()
    .opts<{address: string; control: string}>();
  const {standIn, control} = create(options.address);
  await standIn.open();
  const url = await control.listen(parseAddress(options.control));
  const ready = {
    ready: true,
    address: standIn.address,
    control: new URL(url).host,
  };
  process.stdout.write(`${JSON.stringify(ready)}\n`);
  const stop = () => {
    void Promise.all([standIn.close(), control.close()]);
  };
  process.once('SIGINT', stop);
  process.once('SIGTERM', stop);
}
