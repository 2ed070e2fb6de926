/** Steps for the connections to one upstream. */

import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {ConnectionPool, type UpstreamConnection} from '@wasabidyke/balancer';
import {eventually} from '../support/eventually.js';

interface ConnectionWorld {
  pool: ConnectionPool;
  taken: Array<UpstreamConnection | undefined>;
  server: Server | undefined;
  sockets: Socket[];
  connection: UpstreamConnection;
  lostCount: number;
}

Given(
  'a pool of at most {int} connections',
  function (this: ConnectionWorld, most: number) {
    // Connections open with their first request, which none of these has.
    this.pool = new ConnectionPool('127.0.0.1:9', most);
    this.taken = [];
  },
);

When(
  '{int} connections are taken',
  function (this: ConnectionWorld, count: number) {
    this.taken = Array.from({length: count}, () => this.pool.take());
  },
);

When(
  'connections 1 and 2 are taken and given back in that order',
  function (this: ConnectionWorld) {
    this.taken = [this.pool.take(), this.pool.take()];
    for (const connection of this.taken) {
      assert.ok(connection !== undefined);
      this.pool.release(connection);
    }
  },
);

When(
  'connection {int} is given up',
  function (this: ConnectionWorld, index: number) {
    this.taken[index - 1]?.destroy();
  },
);

Then(
  'a request takes connection {int}',
  function (this: ConnectionWorld, index: number) {
    assert.equal(this.pool.take(), this.taken[index - 1]);
  },
);

Then(
  'a load query takes connection {int}',
  function (this: ConnectionWorld, index: number) {
    assert.equal(this.pool.takeLongestIdle(), this.taken[index - 1]);
  },
);

Then('a request takes no connection', function (this: ConnectionWorld) {
  assert.equal(this.pool.take(), undefined);
});

Given(
  'an upstream that keeps idle connections for {int} s',
  async function (this: ConnectionWorld, seconds: number) {
    this.sockets = [];
    this.lostCount = 0;
    const head = `HTTP/1.1 200 OK\r\nKeep-Alive: timeout=${seconds}\r\n`;
    this.server = createServer(socket => {
      this.sockets.push(socket);
      socket.on('error', () => {});
      socket.once('data', () =>
        socket.write(`${head}Content-Length: 0\r\n\r\n`),
      );
    });
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    const {port} = this.server.address() as AddressInfo;
    this.pool = new ConnectionPool(`127.0.0.1:${port}`, 1, cause => {
      this.lostCount += Number(cause === 'broken');
    });
  },
);

When(
  'a connection to it has answered a request',
  async function (this: ConnectionWorld) {
    const connection = this.pool.take();
    assert.ok(connection !== undefined);
    this.connection = connection;
    await new Promise<void>((resolve, reject) => {
      connection.dispatch(
        {path: '/', method: 'GET'},
        {
          onRequestStart: () => {},
          onResponseStart: () => {},
          onResponseData: () => {},
          onResponseEnd: () => resolve(),
          onResponseError: (_controller, error) => reject(error),
        },
      );
    });
    this.pool.release(connection);
  },
);

When('the upstream resets its connections', function (this: ConnectionWorld) {
  this.sockets.forEach(socket => socket.resetAndDestroy());
});

Then('the connection is closed', async function (this: ConnectionWorld) {
  await eventually('the close', () => this.connection.isBroken);
});

Then(
  /^(no|\d+) connections? counts? as lost$/,
  function (this: ConnectionWorld, count: string) {
    assert.equal(this.lostCount, count === 'no' ? 0 : Number(count));
  },
);

After(function (this: ConnectionWorld) {
  this.sockets?.forEach(socket => socket.destroy());
  this.server?.close();
});
