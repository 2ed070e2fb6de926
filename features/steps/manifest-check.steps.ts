/** Steps for checking manifests. */

import assert from 'node:assert/strict';
import {Given, Then, When, type DataTable} from '@cucumber/cucumber';
import {parseManifest} from '@wasabidyke/manifest';
import type {Finding} from '@wasabidyke/shared';
import {GOOD_MANIFEST} from '../support/good-manifest.js';

interface ManifestWorld {
  text: string;
  findings: readonly Finding[];
}

Given('the manifest', function (this: ManifestWorld, text: string) {
  this.text = text;
});

Given(
  'a manifest of {int} opening brackets',
  function (this: ManifestWorld, count: number) {
    this.text = '['.repeat(count);
  },
);

When('the manifest is checked', function (this: ManifestWorld) {
  const parsed = parseManifest('manifest.jsonc', this.text);
  this.findings = parsed.isErr() ? parsed.error : [];
});

Then('the findings are', function (this: ManifestWorld, expected: DataTable) {
  const actual = this.findings.map(({code, place}) => ({
    code,
    path: place.path,
  }));
  assert.deepEqual(actual, expected.hashes());
});

/** Applies edits such as `services[0].name = "shop"; loadWatch -`. */
function edit(content: unknown, edits: string): unknown {
  const edited = structuredClone(content);
  for (const text of edits.split('; ')) {
    const [path, value] = text.split(/ = | -$/);
    const parts = path.split(/[.[\]]+/).filter(part => part !== '');
    const last = parts.pop() ?? '';
    const parent = parts.reduce(
      (container, part) => container[part] as Container,
      edited as Container,
    );
    parent[last] = value === '' ? undefined : JSON.parse(value);
  }
  return edited;
}

type Container = Record<string, unknown>;

Given(
  /^a good manifest, but with (.*)$/,
  function (this: ManifestWorld, edits: string) {
    this.text = JSON.stringify(edit(GOOD_MANIFEST, edits));
  },
);

Given('a good manifest', function (this: ManifestWorld) {
  this.text = JSON.stringify(GOOD_MANIFEST);
});

Then(
  /^all of its findings are (.*)$/,
  function (this: ManifestWorld, expected: string) {
    const actual = this.findings.map(({code, place}) =>
      `${code} ${place.path}`.trim(),
    );
    assert.deepEqual(actual, expected.split('; '));
  },
);

Then('it has no findings', function (this: ManifestWorld) {
  assert.deepEqual(this.findings, []);
});
