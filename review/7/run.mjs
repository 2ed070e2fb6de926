/** LOST: a planned stop cuts off answers that are being written to clients behind a slow link. */

import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {IS_DISTURBED, runCase} from '../lib2/case.mjs';
import {startEntries} from '../lib2/entries.mjs';
import {Store} from '../lib2/store.mjs';
import {Worker} from '../lib2/worker.mjs';

const HOST = 'photos.example';
const CLIENTS = 4;

/** Link of the entry's machine in Mbit/s, of which each client has its part; the pages name 7 to 140. */
const LINK_MBPS = 56;
const BITS_PER_MEGABIT = 1_000_000;
const BITS_PER_BYTE = 8;
const BYTES_PER_S = (LINK_MBPS * BITS_PER_MEGABIT) / BITS_PER_BYTE / CLIENTS;

/** Bytes of a photo: more than the kernel's buffers on both sides of a loopback connection hold. */
const ANSWER_BYTES = 12_582_912;
const READ_INTERVAL_MS = 10;

const DEADLINE_MS = 15_000;

/** Time from the requests to the SIGTERM, and from that to the kill. */
const STOP_AFTER_MS = 500;
const GRACE_MS = 6_000;

const ZONES = {'home-a': 'home', 'home-b': 'home'};

async function play(note) {
  const store = new Store();
  const storeAddress = await store.listen();
  const workers = [];
  const answer = Buffer.alloc(ANSWER_BYTES, 'photo ');
  for (const zone of ['home-a', 'home-b']) {
    const id = `i-${workers.length + 1}`;
    const answerOf = () => answer;
    const worker = new Worker({
      id,
      service: 'photos',
      zone,
      slots: 16,
      answerOf,
    });
    store.set(`servers/${id}`, await worker.listen());
    workers.push(worker);
  }
  store.set('op/config', toConfiguration());
  const entries = await startEntries({
    storeAddress,
    zones: ['home-a', 'home-b'],
    regionByZone: ZONES,
    more: {},
  });
  note(`${entries.length} entries are ready`);
  await sleep(2_000);

  const [entry] = entries;
  const calls = Array.from({length: CLIENTS}, (_, index) => ({
    id: `photo-${index + 1}`,
  }));
  const downloads = [];
  for (const call of calls) {
    downloads.push(download(entry, call, note));
    await sleep(STOP_AFTER_MS / CLIENTS);
  }
  let stopAtMs = Infinity;
  if (IS_DISTURBED) {
    note(`SIGTERM to ${entry.name}`);
    stopAtMs = performance.now();
    entry.signal('SIGTERM');
    setTimeout(() => entry.signal('SIGKILL'), GRACE_MS);
    void entry.ended().then(() => {
      const tookMs = performance.now() - stopAtMs;
      note(`${entry.name} has ended ${tookMs.toFixed(0)} ms after SIGTERM`);
    });
  }
  await Promise.all(downloads);
  let lost = 0;
  for (const {id, status, bytes, isWhole, endedAtMs} of calls) {
    const isRun = workers.some(({runs}) => runs.some(run => run.id === id));
    lost += Number(isRun && !isWhole);
    const after = (endedAtMs - stopAtMs).toFixed(0);
    note(
      `${id}: ${isRun ? 'run' : 'not run'}, status ${status}, ${bytes} of ${ANSWER_BYTES} bytes, ` +
        `${isWhole ? 'whole' : 'cut off'} ${IS_DISTURBED ? `${after} ms after SIGTERM` : ''}`,
    );
  }
  note(`answers cut off: ${lost} of ${CLIENTS}`);
  await sleep(IS_DISTURBED ? GRACE_MS - (performance.now() - stopAtMs) : 0);
  return lost > 0;
}

/** Asks for a photo, and takes its bytes no faster than the link does. */
function download(entry, call, note) {
  const {id} = call;
  const sentAtMs = performance.now();
  const socket = connect({
    host: '127.0.0.1',
    port: entry.callers,
  });
  socket.write(
    `GET /photo/${id} HTTP/1.1\r\nHost: ${HOST}\r\nWasabidyke-Attempt-Id: ${id}\r\n` +
      `Wasabidyke-Request-Deadline-Ms: ${DEADLINE_MS}\r\n\r\n`,
  );
  note(`${id} is sent to ${entry.name}`);
  socket.pause();
  let head = '';
  let length;
  let taken = 0;
  call.bytes = 0;
  return new Promise(resolve => {
    const end = () => {
      clearInterval(timer);
      call.endedAtMs ??= performance.now();
      call.isWhole = length !== undefined && call.bytes === length;
      socket.destroy();
      resolve();
    };
    const timer = setInterval(() => {
      const passedMs = performance.now() - sentAtMs;
      if (passedMs > DEADLINE_MS) {
        end();
        return;
      }
      const allowance = (passedMs * BYTES_PER_S) / 1_000;
      while (taken < allowance) {
        const chunk = socket.read();
        if (chunk === null) {
          break;
        }
        taken += chunk.length;
        take(chunk);
      }
      if (length !== undefined && call.bytes >= length) {
        end();
      }
    }, READ_INTERVAL_MS);
    const take = chunk => {
      if (length !== undefined) {
        call.bytes += chunk.length;
        return;
      }
      head += chunk.toString('latin1');
      const headEnd = head.indexOf('\r\n\r\n');
      if (headEnd !== -1) {
        call.status = Number(head.slice(9, 12));
        length = Number(/\r\ncontent-length: (\d+)/i.exec(head)?.[1]);
        call.bytes = head.length - headEnd - 4;
      }
    };
    socket.on('error', error => {
      call.error = error.code;
      end();
    });
    socket.on('close', end);
    socket.on('end', () => {
      call.endedAtMs = performance.now();
    });
  });
}

function toConfiguration() {
  return {
    version: '00000001',
    routes: {
      photo: {
        host: HOST,
        prefix: '/photo/',
        kind: 'safe',
        timeout: `${DEADLINE_MS}ms`,
        target_latency: '1250ms',
        priority: 1,
        service: 'photos',
        max_attempts: 2,
      },
    },
    services: {photos: {health_path: '/health', max_connections: 220}},
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 67_108_864,
      header_timeout: '3s',
      idle_timeout: '15s',
    },
  };
}

await runCase(fileURLToPath(new URL('.', import.meta.url)), play);
