/** A caller: asks for entries, keeps the answer a while, keeps a connection open and sends one request after another. */

import {Agent, request as sendRequest} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import type {SeededRandom} from '@wasabidyke/policy';
import {toKeyFields, type KeyChoice} from './accounts.js';
import type {EntryProcess} from './entry-process.js';
import {nowMs, type CallRecord, type History} from './history.js';
import {HOST} from './routes.js';

/** Paths, and what may be repeated there. */
const PATHS = [
  {path: '/read/', kind: 'safe'},
  {path: '/moving/', kind: 'safe'},
  {path: '/write/', kind: 'unsafe'},
] as const;

/** What callers wait for an answer, and keep a list of entries, in milliseconds. */
const DEADLINE_MS = 2_000;
const LIST_AGE_MS = 2_000;
const LIST_TIMEOUT_MS = 1_000;

/** Pause between requests, and one request in so many that its caller leaves early, after as many milliseconds. */
const PAUSE_MS = 60;
const LEAVING_ONE_IN = 25;
const LEAVING_AFTER_MS = 100;

const LONGEST_BODY_BYTES = 20_000;

/** What a caller needs. */
export interface CallerOptions {
  readonly name: string;
  readonly entries: readonly EntryProcess[];
  readonly history: History;
  readonly random: SeededRandom;
  /** Chooses the key of each request. */
  readonly chooseKey: KeyChoice;
  /** Whether its keys may have been revoked. */
  readonly isRevocable: boolean;
  /** Where callers reach an entry, by the address that it names. */
  readonly linkOf: (address: string) => string | undefined;
}

/** Uploads for each long one, and the time that this takes in milliseconds. */
const LONG_ONE_IN = 10;
const LONG_UPLOAD_MS = 700;

/** One caller. */
export class Caller {
  readonly #options: CallerOptions;
  #agent = new Agent({keepAlive: true, maxSockets: 1});
  #addresses: readonly string[] = [];
  #listedAtMs = -Infinity;
  #address: string | undefined;
  #sent = 0;
  #isStopped = false;

  constructor(options: CallerOptions) {
    this.#options = options;
  }

  /** Sends requests until it is stopped. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      await this.#refreshList();
      const address = this.#pickAddress();
      if (address !== undefined) {
        await this.#call(address);
      }
      await sleep(PAUSE_MS);
    }
    this.#agent.destroy();
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Keeps to one entry as long as it is named and serves. */
  #pickAddress(): string | undefined {
    const {random} = this.#options;
    const addresses = this.#addresses;
    if (this.#address === undefined || !addresses.includes(this.#address)) {
      this.#leaveEntry();
      this.#address =
        addresses[random.nextBelow(Math.max(1, addresses.length))];
    }
    return this.#address;
  }

  #leaveEntry(): void {
    this.#agent.destroy();
    this.#agent = new Agent({keepAlive: true, maxSockets: 1});
    this.#address = undefined;
  }

  async #refreshList(): Promise<void> {
    if (nowMs() - this.#listedAtMs < LIST_AGE_MS) {
      return;
    }
    const {entries, random, history} = this.#options;
    const first = random.nextBelow(entries.length);
    for (let tries = 0; tries < Math.min(3, entries.length); tries++) {
      const entry = entries[(first + tries) % entries.length];
      const url = `http://127.0.0.1:${entry.listPort}/-/resolve?name=${HOST}&region=home&zone=${entry.zone}`;
      try {
        const signal = AbortSignal.timeout(LIST_TIMEOUT_MS);
        const answer = await fetch(url, {signal});
        const {addresses} = (await answer.json()) as {addresses?: string[]};
        // An answer without addresses counts as a failure.
        if (addresses !== undefined) {
          this.#addresses = addresses;
          this.#listedAtMs = nowMs();
          history.lists.push({
            entry: entry.address,
            addresses,
            atMs: nowMs(),
          });
          return;
        }
      } catch {
        // The next entry is asked; an older list is kept meanwhile.
      }
    }
  }

  async #call(address: string): Promise<void> {
    const {name, random, history, linkOf, chooseKey, isRevocable} =
      this.#options;
    const link = linkOf(address);
    if (link === undefined) {
      return;
    }
    this.#sent += 1;
    const {path, kind} = PATHS[random.nextBelow(PATHS.length)];
    const size = kind === 'safe' ? 0 : 1 + random.nextBelow(LONGEST_BODY_BYTES);
    const record: CallRecord = {
      id: `${name}-${this.#sent}`,
      kind,
      path: `${path}${this.#sent}`,
      entry: address,
      sentAtMs: nowMs(),
      key: chooseKey(random)?.key,
      isRevocable: isRevocable || undefined,
    };
    history.calls.push(record);
    const isLeaving = random.nextBelow(LEAVING_ONE_IN) === 0;
    const timeoutMs = isLeaving ? LEAVING_AFTER_MS : DEADLINE_MS;
    await this.#send(link, record, 'x'.repeat(size), timeoutMs);
    record.endedAtMs = nowMs();
    if (record.status === undefined) {
      this.#leaveEntry();
    }
  }

  #send(
    link: string,
    record: CallRecord,
    body: string,
    timeoutMs: number,
  ): Promise<void> {
    const [host, port] = link.split(':');
    const {id, kind, path} = record;
    const isLong = kind === 'unsafe' && this.#sent % LONG_ONE_IN === 0;
    return new Promise(resolve => {
      const request = sendRequest({
        host,
        port,
        path,
        agent: this.#agent,
        method: kind === 'safe' ? 'GET' : 'POST',
        headers: {
          host: HOST,
          'wasabidyke-attempt-id': id,
          'wasabidyke-request-deadline-ms': String(DEADLINE_MS),
          ...toKeyFields(record.key),
          ...(body === '' ? {} : {'content-length': body.length}),
        },
      });
      const timer = setTimeout(() => {
        record.leftAtMs = nowMs();
        request.destroy(new Error('the caller left'));
      }, timeoutMs);
      const end = (error?: Error) => {
        clearTimeout(timer);
        record.error = error?.message;
        resolve();
      };
      request.on('error', end);
      request.on('response', response => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', end);
        response.on('end', () => {
          record.status = response.statusCode;
          record.body = Buffer.concat(chunks).toString('utf8');
          const seal = response.headers['wasabidyke-server-seal'];
          record.worker = seal?.toString().replace('seal-', '');
          record.retryAfterSeconds = Number(response.headers['retry-after']);
          end();
        });
      });
      if (isLong) {
        request.write(body.slice(0, 1));
        setTimeout(() => request.end(body.slice(1)), LONG_UPLOAD_MS);
      } else {
        request.end(body);
      }
    });
  }
}
