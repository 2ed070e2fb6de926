/** Steps that compare the page for operations with the code. */

import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {Then} from '@cucumber/cucumber';

const PAGE = 'docs/OPERATIONS.md';
const FOLDERS = ['packages/balancer/src', 'platform/src'];

Then('the events of the operations page are those of the code', () => {
  const recorded = findAll(/record\(\s*'([a-z.-]+)'/g);
  const written = findAll(/event: '([a-z.-]+)'/g);
  assert.deepEqual(readTable('Events'), toSorted([...recorded, ...written]));
});

Then('the metrics of the operations page are those of the code', () => {
  const names = findAll(/'(wasabidyke_[a-z_]+)'/g);
  assert.deepEqual(readTable('Metrics'), toSorted(names));
});

/** The names in the first column of the table under a heading. */
function readTable(heading: string): readonly string[] {
  const [, after] = readFileSync(PAGE, 'utf8').split(`## ${heading}\n`);
  const [section] = after.split('\n## ');
  return toSorted(
    [...section.matchAll(/^\| `([^`]+)`/gm)].map(([, name]) => name),
  );
}

function findAll(pattern: RegExp): readonly string[] {
  const files = FOLDERS.flatMap(folder =>
    readdirSync(folder, {recursive: true, encoding: 'utf8'})
      .filter(file => file.endsWith('.ts'))
      .map(file => join(folder, file)),
  );
  const text = files.map(file => readFileSync(file, 'utf8')).join('\n');
  return [...text.matchAll(pattern)].map(([, name]) => name);
}

function toSorted(names: readonly string[]): readonly string[] {
  return [...new Set(names)].sort();
}
