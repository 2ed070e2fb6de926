/** Steps for an upstream that writes a refusal once more. */

import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {AnswerSink, Attempt} from '@wasabidyke/entry';
import {Pool} from 'undici';

const REFUSAL =
  'HTTP/1.1 503 Busy\r\nWasabidyke-Outcome: not-run\r\nContent-Length: 0\r\n\r\n';
const ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nran';

/** Time that the upstream works on a request, in milliseconds. */
const WORK_MS = 200;

/** Drops the answer. */
class DroppingSink extends AnswerSink {
  override readonly isCommitted = false;
  override onHead(): void {}
  override onData(): void {}
  override onEnd(): void {}
  override onBroken(): void {}
}

interface RefusalWorld {
  refusingServer: Server;
  refusalPool: Pool;
  attempts: Attempt[];
}

Given(
  'an upstream that refuses the first request, and writes that refusal once more {int} ms later',
  async function (this: RefusalWorld, repeatMs: number) {
    let requests = 0;
    this.refusingServer = createServer(socket => {
      socket.on('error', () => socket.destroy());
      socket.on('data', () => {
        requests += 1;
        if (requests > 1) {
          setTimeout(() => socket.write(ANSWER), WORK_MS);
          return;
        }
        socket.write(REFUSAL);
        setTimeout(() => socket.write(REFUSAL), repeatMs);
      });
    });
    this.refusingServer.listen(0, '127.0.0.1');
    await once(this.refusingServer, 'listening');
    const {port} = this.refusingServer.address() as AddressInfo;
    this.refusalPool = new Pool(`http://127.0.0.1:${port}`, {connections: 1});
  },
);

When(
  'an entry sends it a look-up and then an order',
  async function (this: RefusalWorld) {
    this.attempts = ['GET', 'POST'].map(
      method =>
        new Attempt({
          dispatcher: this.refusalPool,
          request: {method, path: '/', headers: {}, body: null},
          sink: new DroppingSink(),
          onAnswerHead: () => {},
        }),
    );
    for (const attempt of this.attempts) {
      attempt.start();
      await attempt.result;
    }
  },
);

Then('the look-up was refused', async function (this: RefusalWorld) {
  assert.equal((await this.attempts[0].result).kind, 'shed');
});

Then(
  'the order was answered after it ran',
  async function (this: RefusalWorld) {
    assert.equal((await this.attempts[1].result).kind, 'answered');
  },
);

After(async function (this: Partial<RefusalWorld>) {
  this.refusingServer?.close();
  await this.refusalPool?.destroy();
});
