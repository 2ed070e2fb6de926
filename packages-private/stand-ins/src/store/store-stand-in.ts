/** A stand-in for the platform's store: the part of etcd's HTTP/JSON gateway that the system uses. */

import fastify, {
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from 'fastify';
import {
  header,
  runLeaseGrant,
  runLeaseKeepAlive,
  runLeaseRevoke,
  runRange,
  runTransaction,
  toWatchEvent,
  type CallAnswer,
} from './calls.js';
import {
  NO_STORE_FAULTS,
  storeCallSchema,
  type StoreCall,
  type StoreFaults,
} from './faults.js';
import {KeySpace} from './key-space.js';
import {watchRequestSchema} from './messages.js';
import {SwitchedServer} from './switched-server.js';

/** Largest request, in bytes. */
const MAXIMUM_BODY_BYTES = 8 * 1_024 * 1_024;

/** Calls that were received, by kind. */
export type CallCounts = Readonly<Record<StoreCall, number>>;

/** The store stand-in. */
export class StoreStandIn {
  readonly keys = new KeySpace();
  readonly #app: FastifyInstance;
  readonly #counts = new Map<StoreCall, number>();
  #server!: SwitchedServer;
  #faults: StoreFaults = NO_STORE_FAULTS;

  /** @param address Where to listen, `host:port`; port 0 takes a free one. */
  constructor(address: string) {
    this.#app = fastify({
      bodyLimit: MAXIMUM_BODY_BYTES,
      serverFactory: listener => {
        this.#server = new SwitchedServer(address, listener);
        return this.#server.server;
      },
    });
    this.#route('/v3/kv/range', 'range', content =>
      runRange(this.keys, content, this.#faults.staleRevision),
    );
    this.#route('/v3/kv/txn', 'transaction', content =>
      runTransaction(this.keys, content),
    );
    this.#route('/v3/lease/grant', 'lease-grant', content =>
      runLeaseGrant(this.keys, content),
    );
    this.#route('/v3/lease/keepalive', 'lease-keepalive', content =>
      runLeaseKeepAlive(this.keys, content),
    );
    this.#route('/v3/lease/revoke', 'lease-revoke', content =>
      runLeaseRevoke(this.keys, content),
    );
    this.#app.post('/v3/watch', (request, reply) =>
      this.#serve('watch', request, reply, () => this.#watch(request, reply)),
    );
  }

  /** The address it listens at, `host:port`. */
  get address(): string {
    return this.#server.address;
  }

  /** Calls received so far, by kind; calls that were held count too. */
  get counts(): CallCounts {
    const names = storeCallSchema.options;
    const rows = names.map(name => [name, this.#counts.get(name) ?? 0]);
    return Object.fromEntries(rows) as CallCounts;
  }

  /** Begins to listen. */
  async open(): Promise<void> {
    await this.#app.ready();
    await this.#server.open();
  }

  /** Shows these faults from now on, in place of the ones before. */
  async setFaults(faults: StoreFaults): Promise<void> {
    const before = this.#faults;
    this.#faults = faults;
    if (faults.down === 'refused') {
      await this.#server.shut();
      return;
    }
    if (before.down === 'held') {
      this.#server.drop();
    }
    await this.#server.open();
  }

  /** Ends all connections. */
  async close(): Promise<void> {
    this.keys.close();
    await this.#server.shut();
  }

  #route(
    path: string,
    call: StoreCall,
    run: (content: unknown) => CallAnswer,
  ): void {
    this.#app.post(path, (request, reply) =>
      this.#serve(call, request, reply, () => {
        const {status, body} = run(request.body);
        if (this.#takeLostAnswer(call)) {
          reply.hijack();
          request.raw.socket.destroy();
          void this.#goDownAfterLostAnswer();
          return;
        }
        void reply.code(status).send(body);
      }),
    );
  }

  async #serve(
    call: StoreCall,
    request: FastifyRequest,
    reply: FastifyReply,
    run: () => void,
  ): Promise<FastifyReply> {
    this.#counts.set(call, (this.#counts.get(call) ?? 0) + 1);
    const {delayMs, delayedCalls} = this.#faults;
    if (delayMs > 0 && delayedCalls.includes(call)) {
      await new Promise(done => setTimeout(done, delayMs));
    }
    const {down, fixedAnswer} = this.#faults;
    if (down !== 'no') {
      return reply.hijack();
    }
    if (fixedAnswer !== undefined) {
      return reply.code(fixedAnswer.status).send(fixedAnswer.body);
    }
    run();
    return reply;
  }

  #takeLostAnswer(call: StoreCall): boolean {
    const {lostAnswers, lostCalls} = this.#faults;
    if (lostAnswers === 0 || !lostCalls.includes(call)) {
      return false;
    }
    const left = lostAnswers < 0 ? lostAnswers : lostAnswers - 1;
    this.#faults = {...this.#faults, lostAnswers: left};
    return true;
  }

  async #goDownAfterLostAnswer(): Promise<void> {
    const {downAfterLostAnswer: down} = this.#faults;
    if (down !== 'no') {
      await this.setFaults({...this.#faults, down});
    }
  }

  #watch(request: FastifyRequest, reply: FastifyReply): void {
    const parsed = watchRequestSchema.safeParse(request.body);
    if (!parsed.success) {
      void reply.code(400).send({code: 3, message: 'no such watch'});
      return;
    }
    const {key} = parsed.data.create_request;
    reply.hijack();
    const {raw} = reply;
    const send = (result: object) => {
      if (this.#faults.down === 'no') {
        const message = {header: header(this.keys), watch_id: '0', ...result};
        raw.write(`${JSON.stringify({result: message})}\n`);
      }
    };
    raw.writeHead(200, {'content-type': 'application/json'});
    send({created: true});
    const end = this.keys.listen(write => {
      if (write.key === key) {
        send({events: [toWatchEvent(write)]});
      }
    });
    raw.on('close', end);
  }
}
