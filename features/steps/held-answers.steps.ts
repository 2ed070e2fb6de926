/** Steps for answers that are held back because their caller reads slowly. */

import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {
  AnswerSink,
  Attempt,
  createAttemptPool,
  type FlowControl,
} from '@wasabidyke/entry';
import type {Pool} from 'undici';

interface HeldWorld {
  heldServer: Server;
  heldPool: Pool;
  heldKind: string;
}

/** Sizes of the whole body and of its first part, in bytes. */
const BODY_BYTES = 2_000;
const FIRST_BYTES = 1_000;

/** Times from the first part to the second one and to the end, in milliseconds. */
const SECOND_PART_MS = 20;
const END_MS = 60;

/** Time for which the caller reads nothing, in milliseconds. */
const HELD_MS = 300;

/** Holds each part of an answer back for a while. */
class SlowSink extends AnswerSink {
  override readonly isCommitted = false;
  #flow: FlowControl | undefined;

  override onHead(_status: number, _headers: object, flow: FlowControl): void {
    this.#flow = flow;
  }

  override onData(): void {
    this.#flow?.pause();
    setTimeout(() => this.#flow?.resume(), HELD_MS);
  }

  override onEnd(): void {}
  override onBroken(): void {}
}

function toPart(bytes: number, framing: string): string {
  const part = 'x'.repeat(bytes);
  return framing === 'in chunks'
    ? `${bytes.toString(16)}\r\n${part}\r\n`
    : part;
}

Given(
  /^an upstream that sends (\d+) of 2000 bytes (of its length|in chunks), and then an? (reset|end)$/,
  async function (
    this: HeldWorld,
    bytes: string,
    framing: string,
    ending: string,
  ) {
    const field =
      framing === 'in chunks'
        ? 'Transfer-Encoding: chunked'
        : `Content-Length: ${BODY_BYTES}`;
    const head = `HTTP/1.1 200 OK\r\nConnection: close\r\n${field}\r\n\r\n`;
    this.heldServer = createServer(socket => {
      socket.on('error', () => socket.destroy());
      socket.once('data', () => {
        socket.write(head + toPart(FIRST_BYTES, framing));
        const rest = toPart(Number(bytes) - FIRST_BYTES, framing);
        setTimeout(() => socket.write(rest), SECOND_PART_MS);
        const end = () =>
          ending === 'reset' ? socket.resetAndDestroy() : socket.end();
        setTimeout(end, END_MS);
      });
    });
    this.heldServer.listen(0, '127.0.0.1');
    await once(this.heldServer, 'listening');
    const {port} = this.heldServer.address() as AddressInfo;
    this.heldPool = createAttemptPool(`http://127.0.0.1:${port}`, {});
  },
);

After(async function (this: Partial<HeldWorld>) {
  this.heldServer?.close();
  await this.heldPool?.destroy();
});

When(
  'an entry sends it a look-up of a caller that reads slowly',
  async function (this: HeldWorld) {
    const attempt = new Attempt({
      dispatcher: this.heldPool,
      request: {method: 'GET', path: '/', headers: {}, body: null},
      sink: new SlowSink(),
      onAnswerHead: () => {},
    });
    attempt.start();
    this.heldKind = (await attempt.result).kind;
  },
);

Then('the look-up is {string}', function (this: HeldWorld, kind: string) {
  assert.equal(this.heldKind, kind);
});
