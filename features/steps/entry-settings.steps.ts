/** Steps for the settings template of an entry. */

import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {Then, When} from '@cucumber/cucumber';
import {
  parseBalancerSettings,
  type BalancerSettings,
} from '@wasabidyke/balancer';

interface SettingsWorld {
  filledIn: string;
  settings: BalancerSettings;
}

const TEMPLATE = 'deploy/entry.settings.jsonc';
const VALUES: Readonly<Record<string, unknown>> = {
  node: 'n-1',
  region: 'home',
  zone: 'home-a',
  zones: {'home-a': 'home'},
  ip: '127.0.0.1',
  'listen.front': '127.0.0.1:1',
  'listen.directory': '127.0.0.1:2',
  'listen.readiness': '127.0.0.1:3',
  'internal_ports.0': 4,
  'internal_ports.1': 5,
  'platform.address': '127.0.0.1:6',
  'bounds.grace': '8s',
  'bounds.retry_budget_ratio': 0.2,
  'bounds.budget_slack': 56,
  'bounds.budget_window': '10s',
  'bounds.probes_per_s': 60,
};
const QUOTA_VALUES: Readonly<Record<string, unknown>> = {
  'bounds.quota_window': '5s',
  'bounds.quota_overshoot': 0.1,
  'bounds.quota_slack': 20,
};

When(
  /^the settings template is filled in (with|without) a tolerance of quotas$/,
  function (this: SettingsWorld, whether: string) {
    const isWith = whether === 'with';
    const values = isWith ? {...VALUES, ...QUOTA_VALUES} : VALUES;
    this.filledIn = fillIn(readFileSync(TEMPLATE, 'utf8'), values);
  },
);

Then('the settings are valid', function (this: SettingsWorld) {
  this.settings = parseBalancerSettings(this.filledIn).unwrap();
});

Then(
  /^they have (a|no) tolerance of quotas$/,
  function (this: SettingsWorld, whether: string) {
    const expected =
      whether === 'a' ? {window: 5_000, overshoot: 0.1, slack: 20} : undefined;
    assert.deepEqual(this.settings.quotas, expected);
  },
);

/** Renders sections whose value is present, then values. */
function fillIn(
  template: string,
  values: Readonly<Record<string, unknown>>,
): string {
  const sections = /\{\{#([\w.]+)\}\}([^]*?)\{\{\/\1\}\}/g;
  return template
    .replace(sections, (_, name: string, section: string) =>
      values[name] === undefined ? '' : section,
    )
    .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, name: string, json?: string) => {
      const value = values[name];
      assert.ok(value !== undefined, name);
      return json === undefined ? String(value) : JSON.stringify(value);
    });
}
