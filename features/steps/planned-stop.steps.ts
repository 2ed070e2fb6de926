/** Steps for planned stops of a balancer on the users' platform. */

import assert from 'node:assert/strict';
import {
  request as sendRequest,
  type IncomingHttpHeaders,
  type IncomingMessage,
} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  REASON_HEADER,
  RELAY_PATH,
  RESULT_HEADER,
  serializeRequest,
} from '@wasabidyke/balancer';
import type {BalancerSite} from '../support/balancer-site.js';
import {eventually} from '../support/eventually.js';
import {relayed} from '../support/recorded-messages.js';

/** What a caller got; undefined if its connection ended without an answer. */
type StopAnswer = Pick<IncomingMessage, 'statusCode' | 'headers'> | undefined;

interface StopWorld {
  balancerSite: BalancerSite;
  stopAnswer: StopAnswer;
  /** Whether it came before the stop was over. */
  isBeforeEnd: boolean;
  /** Time from the end of the request to its answer, in milliseconds. */
  answeredAfterMs: number;
  stops: ReadonlyArray<Promise<number>>;
  relayHeaders: IncomingHttpHeaders;
}

/** Time until the head of an order has been read, in milliseconds. */
const READING_MS = 100;

/** Time that an entry of the site has to stop, in milliseconds. */
const STOP_MS = 1_500;

/** Time in which entries read what others announce, in milliseconds. */
const READ_MS = 1_500;

const BODY = 'a wheel of cheese';

/** An order whose body may be sent later. */
class Order {
  readonly answer: Promise<StopAnswer>;
  readonly #request: ReturnType<typeof sendRequest>;

  constructor(port: number, deadlineMs = 3_000, path = '/write/order') {
    const request = sendRequest({
      host: '127.0.0.1',
      port,
      method: 'POST',
      path,
      agent: false,
      headers: {
        host: 'shop.example',
        'content-length': BODY.length,
        'wasabidyke-attempt-id': `order-${Math.random()}`,
        'wasabidyke-request-deadline-ms': String(deadlineMs),
      },
    });
    this.#request = request;
    this.answer = new Promise(resolve => {
      request.on('response', response => {
        response.resume();
        response.on('end', () => resolve(response));
      });
      request.on('error', () => resolve(undefined));
    });
    request.write(BODY.slice(0, 3));
  }

  /** Sends the rest of the body. */
  finish(): Promise<StopAnswer> {
    this.#request.end(BODY.slice(3));
    return this.answer;
  }
}

Given(
  'routes that let callers wait for {int} ms',
  async function (this: StopWorld, timeoutMs: number) {
    const {balancerSite} = this;
    balancerSite.configure({}, 2, timeoutMs);
    await eventually('the routes are in force', () =>
      balancerSite.log.events.some(
        ({event, version}) =>
          event === 'configuration.applied' && version === balancerSite.version,
      ),
    );
  },
);

Given('{int} orders were answered', async function (this: StopWorld, count) {
  for (let order = 0; order < count; order++) {
    const answer = await new Order(this.balancerSite.callerPort).finish();
    assert.equal(answer?.statusCode, 200);
  }
});

When(
  'an upload begins, the balancer is told to stop, and the upload ends {int} ms later',
  async function (this: StopWorld, delayMs: number) {
    const order = new Order(this.balancerSite.callerPort);
    await sleep(READING_MS);
    await stopDuring(this, async () => {
      await sleep(delayMs);
      return order.finish();
    });
  },
);

When(
  'the balancer is told to stop, and an order comes {int} ms later',
  async function (this: StopWorld, delayMs: number) {
    const {callerPort} = this.balancerSite;
    await stopDuring(this, async () => {
      await sleep(delayMs);
      return new Order(callerPort).finish();
    });
  },
);

When(
  /^the balancer is told to stop, and an? (order|look-up) with (\d+) ms comes (\d+) ms later$/,
  async function (this: StopWorld, what: string, own: string, delay: string) {
    const {callerPort} = this.balancerSite;
    const path = what === 'order' ? '/write/order' : '/read/order';
    await stopDuring(this, async () => {
      await sleep(Number(delay));
      const startMs = performance.now();
      const answer = await new Order(callerPort, Number(own), path).finish();
      this.answeredAfterMs = performance.now() - startMs;
      return answer;
    });
  },
);

Then(
  'the refusal took less than {int} ms',
  function (this: StopWorld, limitMs: number) {
    assert.ok(this.answeredAfterMs < limitMs, `${this.answeredAfterMs} ms`);
  },
);

When(
  'an order is sent, and the balancer is told to stop twice meanwhile',
  async function (this: StopWorld) {
    const {balancer, callerPort} = this.balancerSite;
    assert.ok(balancer !== undefined);
    const answered = new Order(callerPort).finish();
    await sleep(READING_MS);
    const stop = () => balancer.stop().then(() => performance.now());
    this.stops = [stop(), stop()];
    this.stopAnswer = await answered;
    this.answeredAfterMs = performance.now();
  },
);

Then(
  'both stops ended after the order was answered {int}',
  async function (this: StopWorld, status: number) {
    assert.equal(this.stopAnswer?.statusCode, status);
    for (const endedAtMs of await Promise.all(this.stops)) {
      assert.ok(endedAtMs > this.answeredAfterMs);
    }
  },
);

Given(
  'another balancer that may relay requests to the first',
  async function (this: StopWorld) {
    await this.balancerSite.addEntry();
    await this.balancerSite.ready();
    await eventually('both are announced', () => {
      const {store} = this.balancerSite;
      return store.keys.filter(key => key.startsWith('entries/')).length === 2;
    });
    await sleep(READ_MS);
  },
);

When(
  'the first balancer is told to stop, and an order is relayed to it with {int} ms {int} ms later',
  async function (this: StopWorld, remainingMs: number, delayMs: number) {
    const {balancerSite} = this;
    const stopped = balancerSite.balancer?.stop();
    await sleep(delayMs);
    const message = {...relayed, remainingMs, excluded: []};
    this.relayHeaders = await postRelay(
      balancerSite.feedPortOf(0),
      serializeRequest(message, Buffer.from(BODY)),
    );
    await stopped;
  },
);

Then(
  'the relay was answered {string} because of {string}',
  function (this: StopWorld, result: string, reason: string) {
    assert.equal(this.relayHeaders[RESULT_HEADER], result);
    assert.equal(this.relayHeaders[REASON_HEADER], reason);
  },
);

When(
  'an order is sent with {int} ms and the balancer is told to stop meanwhile',
  async function (this: StopWorld, deadlineMs: number) {
    const order = new Order(this.balancerSite.callerPort, deadlineMs);
    const answered = order.finish();
    await sleep(READING_MS);
    await stopDuring(this, () => answered);
  },
);

Then(
  /^the (?:upload|order) was refused as not run, with when to come back$/,
  function (this: StopWorld) {
    assert.equal(this.stopAnswer?.statusCode, 503);
    assert.ok(Number(this.stopAnswer.headers['retry-after']) > 0);
  },
);

Then(
  'the order was answered {int}',
  function (this: StopWorld, status: number) {
    assert.equal(this.stopAnswer?.statusCode, status);
    assert.ok(this.isBeforeEnd, 'it came after the end');
  },
);

function postRelay(port: number, body: Buffer): Promise<IncomingHttpHeaders> {
  return new Promise((resolve, reject) => {
    const options = {host: '127.0.0.1', port, path: RELAY_PATH, method: 'POST'};
    const request = sendRequest({...options, agent: false}, response => {
      response.resume();
      response.on('end', () => resolve(response.headers));
    });
    request.on('error', reject);
    request.end(body);
  });
}

async function stopDuring(
  world: StopWorld,
  act: () => Promise<StopAnswer>,
): Promise<void> {
  const startMs = performance.now();
  const stopped = world.balancerSite.stopLastEntry();
  world.stopAnswer = await act();
  world.isBeforeEnd = performance.now() - startMs < STOP_MS;
  await stopped;
}
