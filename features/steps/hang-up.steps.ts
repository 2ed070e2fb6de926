/** Steps for signals to an entry that starts. */

import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {After, Given, Then, When} from '@cucumber/cucumber';

interface HangUpWorld {
  directory: string;
  output: string;
}

const PROGRAM = 'target/wasabidyke-entry.cjs';
const TIMEOUT_MS = 20_000;

/** Runs before the program; its callback runs once the program has loaded. */
const WATCHER = `setImmediate(() => {
  process.stdout.write('listeners: ' + process.listenerCount('SIGHUP'));
});`;

Given('the bundled entry without settings', function (this: HangUpWorld) {
  const bundled = spawnSync(process.execPath, ['scripts/bundle.mjs']);
  assert.equal(bundled.status, 0, bundled.stderr.toString());
  this.directory = mkdtempSync(join(tmpdir(), 'wasabidyke-hang-up-'));
});

After(function (this: Partial<HangUpWorld>) {
  if (this.directory !== undefined) {
    rmSync(this.directory, {recursive: true, force: true});
  }
});

When('it has loaded and has read nothing yet', function (this: HangUpWorld) {
  const watcher = join(this.directory, 'watcher.cjs');
  writeFileSync(watcher, WATCHER);
  const settings = join(this.directory, 'missing.jsonc');
  const run = spawnSync(
    process.execPath,
    ['--require', watcher, PROGRAM, settings],
    {timeout: TIMEOUT_MS},
  );
  this.output = run.stdout.toString();
});

Then('it takes hang-ups', function (this: HangUpWorld) {
  assert.equal(this.output, 'listeners: 1');
});
