/** Steps for upstreams of an entry whose answers are cut or invalid. */

import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {AnswerSink, Attempt} from '@wasabidyke/entry';
import {Pool} from 'undici';
import {
  EarlyWorker,
  toFraming,
  type EarlyEnding,
} from '../support/early-worker.js';

interface BrokenWorld {
  brokenUpstream: EarlyWorker;
  brokenPool: Pool;
  brokenResults: Array<Awaited<Attempt['result']>>;
}

/** Drops the answer. */
class DroppingSink extends AnswerSink {
  override readonly isCommitted = false;
  override onHead(): void {}
  override onData(): void {}
  override onEnd(): void {}
  override onBroken(): void {}
}

Given(
  /^an upstream that answers at once "([^"]*)" (.*), and then an? (.*)$/,
  async function (
    this: BrokenWorld,
    status: string,
    framing: string,
    ending: EarlyEnding,
  ) {
    const answer = {status, framing: toFraming(framing), ending};
    this.brokenUpstream = new EarlyWorker('early', answer);
    await this.brokenUpstream.listen();
    this.brokenPool = new Pool(`http://${this.brokenUpstream.address}`, {
      pipelining: 1,
    });
  },
);

After(async function (this: Partial<BrokenWorld>) {
  this.brokenUpstream?.close();
  await this.brokenPool?.destroy();
});

When(
  'an entry sends it {int} uploads of {int} bytes',
  async function (this: BrokenWorld, count: number, bytes: number) {
    const body = Buffer.alloc(bytes);
    this.brokenResults = [];
    for (let index = 0; index < count; index++) {
      const attempt = new Attempt({
        dispatcher: this.brokenPool,
        request: {method: 'POST', path: '/', headers: {}, body},
        sink: new DroppingSink(),
        onAnswerHead: () => {},
      });
      attempt.start();
      this.brokenResults.push(await attempt.result);
    }
  },
);

Then('each of the uploads is broken', function (this: BrokenWorld) {
  const kinds = this.brokenResults.map(({kind}) => kind);
  assert.deepEqual([...new Set(kinds)], ['broken']);
});

Then(
  'each of the uploads is broken because {string}',
  function (this: BrokenWorld, cause: string) {
    for (const result of this.brokenResults) {
      assert.equal(result.kind, 'broken');
      assert.equal('message' in result && result.message, cause);
    }
  },
);
