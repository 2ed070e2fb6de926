/** Steps for checking manifests. */

import assert from 'node:assert/strict';
import {Given, Then, When, type DataTable} from '@cucumber/cucumber';
import {parseManifest} from '@wasabidyke/manifest';
import type {Finding} from '@wasabidyke/shared';

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
