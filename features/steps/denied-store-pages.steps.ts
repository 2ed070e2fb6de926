/** Steps for a store that answers reads in pages of different ages. */

import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {eventually} from '../support/eventually.js';
import {ReadingEntry} from '../support/reading-entry.js';

interface PagesWorld {
  pagesStore: Server;
  pagesAddress: string;
  pagesReader: ReadingEntry | undefined;
}

const KEY = 'servers/w1';

/** Revisions of the old page, of the change that it lacks, and of the first page. */
const OLD_REVISION = 5;
const CHANGED_REVISION = 8;
const NEWEST_REVISION = 10;

After(async function (this: PagesWorld) {
  await this.pagesReader?.close();
  this.pagesStore?.closeAllConnections();
  this.pagesStore?.close();
});

Given(
  'a store whose second page is older than the first one',
  async function (this: PagesWorld) {
    this.pagesStore = createServer((request, response) => {
      const url = new URL(request.url ?? '/', 'http://store');
      const answer = toAnswer(url);
      const waitMs = Number(url.searchParams.get('wait_ms') ?? 0);
      const hasNews = answer.events?.length !== 0;
      const send = () => {
        response.setHeader('content-type', 'application/json');
        response.end(JSON.stringify(answer));
      };
      setTimeout(send, hasNews ? 0 : waitMs);
    });
    this.pagesStore.listen(0, '127.0.0.1');
    await once(this.pagesStore, 'listening');
    const {port} = this.pagesStore.address() as AddressInfo;
    this.pagesAddress = `127.0.0.1:${port}`;
  },
);

When('an entry starts to follow that store', async function (this: PagesWorld) {
  this.pagesReader = new ReadingEntry(this.pagesAddress, KEY);
  await this.pagesReader.start();
});

Then(
  'it knows the change that the old page lacks within {int} ms',
  async function (this: PagesWorld, withinMs: number) {
    const isKnown = () => this.pagesReader?.believer.value === 'changed';
    await eventually('the change is known', isKnown, withinMs);
  },
);

/** The answer to a read or a watch. */
function toAnswer({pathname, searchParams}: URL) {
  const after = searchParams.get('after') ?? '';
  const changed = toItem(KEY, 'changed', CHANGED_REVISION);
  if (pathname === '/-/kv-watch') {
    const events = Number(after) < CHANGED_REVISION ? [changed] : [];
    return {events, current_rev: NEWEST_REVISION};
  }
  if (searchParams.get('prefix') !== '') {
    return {items: [], current_rev: NEWEST_REVISION};
  }
  if (after === '') {
    const items = [toItem('op/evacuate/none', 'x', 1)];
    return {items, has_more: true, current_rev: NEWEST_REVISION};
  }
  const isOld = searchParams.get('serializable') === '1';
  return {
    items: [isOld ? toItem(KEY, 'former', 1) : changed],
    has_more: false,
    current_rev: isOld ? OLD_REVISION : NEWEST_REVISION,
  };
}

function toItem(key: string, text: string, revision: number) {
  return {key, value: Buffer.from(text).toString('base64'), revision};
}
