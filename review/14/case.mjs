/** Clients upload readings line by line, each line as a chunk of its own. */

import {connect} from 'node:net';
import {dirname} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
  Entry,
  nextId,
  now,
  runCase,
  Store,
  toConfiguration,
  Worker,
} from '../lib4/harness.mjs';

const HOST = 'farms.example';
const UPLOADS = 20;
const LINE = '12.5\n';
/** Below the largest upload of `sites/bmct-gateway.toml`, 360,000 bytes. */
const BODY_BYTES = 300_000;
const BYTES_PER_WRITE = 20_000;
const DEADLINE_MS = 10_000;
const DENIED_ALLOWED = 5 + UPLOADS / 500;
const OWN_STATUSES_ALLOWED = [408, 421, 429];

/** Uploads a body in chunks of a number of bytes. */
function upload(port, chunkBytes) {
  const call = {id: nextId(), sentAtMs: now()};
  const line = LINE.repeat(chunkBytes / LINE.length);
  const chunk = `${chunkBytes.toString(16)}\r\n${line}\r\n`;
  const chunks = BODY_BYTES / chunkBytes;
  call.done = new Promise(resolve => {
    const socket = connect(port, '127.0.0.1');
    let text = '';
    const end = () => {
      call.endedAtMs ??= now();
      resolve();
    };
    socket.on('data', data => {
      text += data.toString('latin1');
      if (text.includes('\r\n\r\n')) {
        call.status = Number(text.slice(9, 12));
        call.isSealed = /\r\nwasabidyke-server-seal:/i.test(text);
        socket.destroy();
        end();
      }
    });
    socket.on('error', error => (call.cause = error.code));
    socket.on('close', end);
    setTimeout(() => socket.destroy(), DEADLINE_MS).unref();
    const send = async () => {
      socket.write(
        `POST /upload/${call.id} HTTP/1.1\r\nHost: ${HOST}\r\nWasabidyke-Attempt-Id: ${call.id}\r\nWasabidyke-Request-Deadline-Ms: ${DEADLINE_MS}\r\nTransfer-Encoding: chunked\r\n\r\n`,
      );
      const perWrite = Math.max(1, Math.floor(BYTES_PER_WRITE / chunkBytes));
      for (let sent = 0; sent < chunks && !socket.destroyed; sent += perWrite) {
        socket.write(chunk.repeat(Math.min(perWrite, chunks - sent)));
        await sleep(5);
      }
      if (!socket.destroyed) {
        socket.write('0\r\n\r\n');
      }
    };
    void send();
  });
  return call;
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({record, isTroubled, onEnd}) => {
    const store = new Store();
    await store.listen();
    onEnd(() => store.close());
    const workers = ['w-1', 'w-2'].map(
      id =>
        new Worker(store, {
          id,
          service: 'portal',
          zone: 'home-a',
          answer: async ({response, body, run, worker}) => {
            await sleep(20);
            run.bodyBytes = body.length;
            response.writeHead(200, {
              ...worker.headersFor(run.id),
              'content-length': '2',
            });
            response.end('ok');
          },
        }),
    );
    store.set(
      'op/config',
      toConfiguration({
        version: 1,
        services: ['portal'],
        routes: {
          upload: {
            host: HOST,
            prefix: '/upload/',
            kind: 'upload',
            timeout: '10s',
            target_latency: '400ms',
            priority: 1,
            service: 'portal',
            max_attempts: 1,
          },
        },
      }),
    );
    for (const worker of workers) {
      await worker.start();
      onEnd(() => worker.close());
    }
    const entries = ['entry-1', 'entry-2'].map(
      name =>
        new Entry({
          name,
          region: 'home',
          zone: 'home-a',
          zones: {'home-a': 'home'},
          store,
        }),
    );
    for (const entry of entries) {
      await entry.prepare();
      onEnd(() => entry.end());
      entry.start();
    }
    await Promise.all(entries.map(entry => entry.waitUntilReady()));
    // Longer than `stable_window`.
    await sleep(4_000);
    // Without the disruption, the lines are sent in chunks of four kilobytes or so.
    const chunkBytes = isTroubled ? LINE.length : 4_000;
    const calls = [];
    for (let count = 0; count < UPLOADS; count += 1) {
      const call = upload(entries[count % entries.length].port, chunkBytes);
      calls.push(call);
      await call.done;
    }
    const runs = new Map(
      workers.flatMap(worker => worker.runs).map(run => [run.id, run]),
    );
    for (const call of calls) {
      const run = runs.get(call.id);
      record.write(
        `${call.id} ${BODY_BYTES} bytes in chunks of ${chunkBytes}: status ${call.status}, sealed ${call.isSealed}, ${call.cause ?? 'no error'}, after ${Math.round(call.endedAtMs - call.sentAtMs)} ms; run by ${run?.worker}, ${run?.bodyBytes} bytes there`,
      );
    }
    const denied = calls.filter(
      ({status, isSealed}) =>
        status >= 300 &&
        status < 500 &&
        !isSealed &&
        !OWN_STATUSES_ALLOWED.includes(status),
    );
    record.write(`${denied.length} of ${calls.length} denied`);
    return denied.length > DENIED_ALLOWED
      ? denied.map(({id, status}) => `DENIED ${id} was answered ${status}`)
      : [];
  },
);
