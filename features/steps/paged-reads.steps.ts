/** Steps for complete reads of the platform's store in several pages. */

import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import type {
  RecordChanges,
  RecordStore,
  RecordStoreError,
} from '@wasabidyke/balancer';
import {PlatformStore} from '@wasabidyke/platform';
import type {Result} from '@wasabidyke/shared';
import {RawServer} from '../support/raw-server.js';

interface PagesWorld {
  pagedServer: RawServer;
  pagedStore: RecordStore;
  pagedRead: Result<RecordChanges, RecordStoreError>;
}

interface Page {
  readonly items: readonly object[];
  readonly has_more: boolean;
  readonly current_rev: number;
}

function toAnswer(page: Page): Buffer {
  const body = JSON.stringify(page);
  const head = `HTTP/1.1 200 OK\r\nContent-Length: ${Buffer.byteLength(body)}\r\nConnection: close\r\n\r\n`;
  return Buffer.from(head + body);
}

async function listen(
  world: PagesWorld,
  pages: readonly Page[],
): Promise<void> {
  world.pagedServer = await RawServer.listen(pages.map(toAnswer));
  world.pagedStore = new PlatformStore(new URL(world.pagedServer.origin).host);
}

After(async function (this: Partial<PagesWorld>) {
  await this.pagedStore?.close();
  this.pagedServer?.close();
});

Given(
  'a store whose pages stand at the revisions {int} and {int}',
  function (this: PagesWorld, first: number, second: number) {
    const toItem = (key: string) => ({key, value: 'e30=', revision: 1});
    return listen(this, [
      {items: [toItem('op/config')], has_more: true, current_rev: first},
      {items: [toItem('servers/a')], has_more: false, current_rev: second},
    ]);
  },
);

Given(
  'a store whose first page has no key and is not the last one',
  function (this: PagesWorld) {
    return listen(this, [{items: [{}], has_more: true, current_rev: 3}]);
  },
);

When('all of its records are read', async function (this: PagesWorld) {
  this.pagedRead = await this.pagedStore.readAll(true);
});

Then('the records of both pages are read', function (this: PagesWorld) {
  const {changes} = this.pagedRead.unwrap();
  assert.deepEqual(
    changes.map(({key}) => key),
    ['op/config', 'servers/a'],
  );
});

Then(
  'a watch goes on from revision {int}',
  function (this: PagesWorld, revision: number) {
    assert.equal(this.pagedRead.unwrap().revision, revision);
  },
);

Then('the read fails as malformed', function (this: PagesWorld) {
  assert.ok(this.pagedRead.isErr());
  assert.equal(this.pagedRead.error.kind, 'malformed');
});
