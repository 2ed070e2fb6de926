/** Steps for the settings of an entry. */

import assert from 'node:assert/strict';
import {Given, Then, When, type DataTable} from '@cucumber/cucumber';
import {parseSettings, type Settings} from '@wasabidyke/operator';
import type {Finding, Result} from '@wasabidyke/shared';

interface SettingsWorld {
  settingsText: string;
  parsedSettings: Result<Settings, readonly Finding[]>;
}

Given('the settings', function (this: SettingsWorld, text: string) {
  this.settingsText = text;
});

Given(
  /^settings whose token is (.*)$/,
  function (this: SettingsWorld, token: string) {
    this.settingsText = JSON.stringify({
      name: 'entry-1',
      vm: 'vm-1',
      region: 'north',
      zone: 'north-a',
      callers: {address: '192.0.2.7:8080'},
      operators: {address: '192.0.2.7:8082', token: JSON.parse(token)},
      platform: {kind: 'embedded', manifestFile: 'manifest.jsonc'},
    });
  },
);

When('the settings are checked', function (this: SettingsWorld) {
  this.parsedSettings = parseSettings('entry.jsonc', this.settingsText);
});

Then(
  'the settings are accepted with the log format {string} and the prefix {string}',
  function (this: SettingsWorld, format: string, prefix: string) {
    const {log, platform} = this.parsedSettings.unwrap();
    assert(platform.kind === 'etcd');
    assert.deepEqual([log.format, platform.prefix], [format, prefix]);
  },
);

Then(
  'the findings of the settings are',
  function (this: SettingsWorld, expected: DataTable) {
    assert(this.parsedSettings.isErr());
    const actual = this.parsedSettings.error.map(({code, place}) => ({
      code,
      path: place.path,
      line: String(place.line),
    }));
    assert.deepEqual(actual, expected.hashes());
  },
);
