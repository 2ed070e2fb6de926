/**
 * Runs the small example: one entry without a platform, and its upstreams, each
 * a process of its own. `--free-ports` takes any free ports in place of the
 * example's. `--once` does so too, sends one request of each kind, prints the
 * answers and ends.
 */

import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {parse} from 'jsonc-parser';
import {Child} from './child.mjs';

const EXAMPLE = 'examples/small';
const ENTRY_FILE = 'packages/entry/dist/main.js';
const UPSTREAM_FILE = 'packages-private/stand-ins/dist/upstream/main.js';

const HOST = '127.0.0.1';
const SERVING_LIMIT_MS = 15_000;
const POLL_MS = 50;
const PHOTO_BYTES = 262_144;

const isOnce = process.argv.includes('--once');
const isOnFreePorts = isOnce || process.argv.includes('--free-ports');
const directory = mkdtempSync(join(tmpdir(), 'wasabidyke-'));
const children = [];

const stopSignal = waitForSignal();
try {
  const settings = await start();
  await waitUntilServing(settings);
  if (isOnce) {
    await Promise.race([stopSignal, sendEachKind(settings)]);
  } else {
    printAddresses(settings);
    await Promise.race([stopSignal, ...children.map(child => child.watch())]);
    console.log('Stopping.');
  }
} catch (error) {
  console.error(error.message);
  process.exitCode = 1;
} finally {
  await stop();
}
process.exit();

async function start() {
  const manifest = parse(readFileSync(join(EXAMPLE, 'manifest.jsonc'), 'utf8'));
  const settings = parse(readFileSync(join(EXAMPLE, 'entry.jsonc'), 'utf8'));
  if (isOnFreePorts) {
    await useFreePorts(settings, manifest);
  }
  await Promise.all(listUpstreams(manifest).map(startUpstream));
  const manifestFile = write('manifest.jsonc', manifest);
  settings.platform.manifestFile = manifestFile;
  const entry = new Child(
    'The entry',
    ENTRY_FILE,
    write('entry.jsonc', settings),
  );
  children.unshift(entry);
  await entry.waitUntilReady();
  return settings;
}

async function startUpstream(upstream) {
  const {name, address, vm, service, slots, connections} = upstream;
  const worker = {name, address, vm, service, slots, connections};
  const file = write(`${name}.jsonc`, {process: name, workers: [worker]});
  const child = new Child(`Upstream ${name}`, UPSTREAM_FILE, file);
  children.push(child);
  await child.waitUntilReady();
}

async function stop() {
  const [entry, ...upstreams] = children;
  await entry?.stop();
  await Promise.all(upstreams.map(upstream => upstream.stop()));
  rmSync(directory, {recursive: true});
}

function listUpstreams({services}) {
  return services.flatMap(({name, upstreams}) =>
    upstreams.map(upstream => ({...upstream, service: name})),
  );
}

async function useFreePorts(settings, manifest) {
  const listeners = [
    settings.callers,
    settings.operators,
    ...manifest.services.flatMap(service => service.upstreams),
  ];
  const holders = await Promise.all(listeners.map(holdFreePort));
  for (const [index, listener] of listeners.entries()) {
    listener.address = `${HOST}:${holders[index].address().port}`;
  }
  await Promise.all(
    holders.map(holder => new Promise(resolve => holder.close(resolve))),
  );
}

async function holdFreePort() {
  const holder = createServer().listen(0, HOST);
  await once(holder, 'listening');
  return holder;
}

async function waitUntilServing({callers}) {
  const deadline = Date.now() + SERVING_LIMIT_MS;
  while (Date.now() < deadline) {
    const {entries} = await readEntries(callers.address);
    if (entries.length > 0) {
      return;
    }
    await sleep(POLL_MS);
  }
  throw new Error('The entry does not serve.');
}

async function readEntries(address) {
  const answer = await fetch(`http://${address}/v1/entries`);
  return answer.json();
}

async function sendEachKind({callers}) {
  const {entries} = await readEntries(callers.address);
  const [{address, home}] = entries;
  await send('look-up', `http://${address}/shop/cheeses/1`, {});
  await send('order', `http://${address}/shop/orders`, {
    method: 'POST',
    headers: {'idempotency-key': `${home}:${randomUUID()}`},
    body: JSON.stringify({cheese: 1}),
  });
  await send('photos', `http://${address}/shop/photos/1`, {
    method: 'PUT',
    body: Buffer.alloc(PHOTO_BYTES),
  });
}

async function send(kind, url, request) {
  const answer = await fetch(url, request);
  const text = await answer.text();
  const {method = 'GET'} = request;
  console.log(`${kind}: ${method} ${url}\n${answer.status} ${text.trim()}`);
  if (!answer.ok) {
    throw new Error(`${kind} was answered with status ${answer.status}.`);
  }
}

function printAddresses({callers, operators}) {
  console.log(`Callers:   http://${callers.address}
Operators: http://${operators.address}
Try:       curl -i http://${callers.address}/shop/cheeses/1
           npx wasabidyke upstreams --entry ${operators.address}
Stop with Ctrl-C.`);
}

function write(name, content) {
  const file = join(directory, name);
  writeFileSync(file, JSON.stringify(content, undefined, 2));
  return file;
}

function waitForSignal() {
  return new Promise(resolve => {
    for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
      process.on(signal, resolve);
    }
  });
}
