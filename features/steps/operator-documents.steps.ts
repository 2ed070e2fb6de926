/** Steps that compare the operators' page with the code. */

import assert from 'node:assert/strict';
import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import {Then} from '@cucumber/cucumber';
import {parseManifest} from '@wasabidyke/manifest';
import {settingsSchema} from '@wasabidyke/operator';
import {z} from 'zod';

const PAGE = 'docs/OPERATING.md';
const PACKAGES = ['entry', 'peer', 'store', 'policy'];

/** Codes that are made of a state of a chart. */
const CHARTS: Readonly<Record<string, string>> = {
  entry: 'packages/entry/charts/entry.chart.json',
  upstream: 'packages/entry/charts/upstream.chart.json',
  member: 'packages/peer/charts/member.chart.json',
};

/** The first cells of the table under a heading. */
function readTable(heading: string): readonly string[] {
  const [, after] = readFileSync(PAGE, 'utf8').split(`# ${heading}\n`);
  const [section] = after.split('\n#');
  const rows = section.split('\n').filter(line => line.startsWith('| `'));
  return rows.flatMap(row =>
    [...row.split('|')[1].matchAll(/`([^`]+)`/g)].map(([, name]) => name),
  );
}

function readSources(): string {
  const directories = PACKAGES.map(name => `packages/${name}/src`);
  const files = directories.flatMap(directory =>
    readdirSync(directory, {recursive: true, encoding: 'utf8'})
      .filter(file => file.endsWith('.ts') && !file.startsWith('gen/'))
      .map(file => join(directory, file)),
  );
  return files.map(file => readFileSync(file, 'utf8')).join('\n');
}

function findAll(pattern: RegExp): readonly string[] {
  return [...readSources().matchAll(pattern)].map(([, name]) => name);
}

function listStates(chart: string): readonly string[] {
  const {initial, states} = JSON.parse(readFileSync(CHARTS[chart], 'utf8'));
  const transitions = Object.values<{on?: Record<string, string>}>(states);
  const targets = transitions.flatMap(({on}) => Object.values(on ?? {}));
  const names = [...new Set(targets)];
  assert.ok(initial in states);
  return names.map(name => `${chart}.${name}`);
}

function assertSame(actual: readonly string[], expected: readonly string[]) {
  assert.deepEqual([...new Set(actual)].sort(), [...new Set(expected)].sort());
}

/** Paths of all settings, such as `log.format`. */
function listSettings(schema: z.ZodType, path: string): readonly string[] {
  if (schema instanceof z.ZodOptional) {
    return listSettings(schema.unwrap() as z.ZodType, path);
  }
  if (schema instanceof z.ZodPrefault) {
    return listSettings(schema.unwrap() as z.ZodType, path);
  }
  if (schema instanceof z.ZodDiscriminatedUnion) {
    const options = schema.options as readonly z.ZodType[];
    return options.flatMap(option => listSettings(option, path));
  }
  if (schema instanceof z.ZodObject) {
    const properties = Object.entries<z.ZodType>(schema.shape);
    return properties.flatMap(([name, property]) =>
      listSettings(property, path === '' ? name : `${path}.${name}`),
    );
  }
  return [path];
}

Then("the metrics of the operators' page are those of the code", () => {
  const names = findAll(/['`](wasabidyke_[a-z_]+)['`]/g);
  const gauges = findAll(/metrics\.gauge\('([a-z_]+)'/g);
  const peerNames = gauges
    .filter(name => !isMetric(name))
    .map(name => `wasabidyke_peer_${name}`);
  assertSame(readTable('Metrics').filter(isMetric), [...names, ...peerNames]);
});

Then("the log lines of the operators' page are those of the code", () => {
  const codes = [
    ...findAll(/code: '([a-z-]+\.[a-z-]+)'/g),
    ...findAll(/report\('(?:info|warn|error)', '([a-z.-]+)'/g),
  ];
  const stems = findAll(/code: `([a-z-]+\.[a-z-]*)\$\{/g);
  const states = Object.keys(CHARTS).flatMap(listStates);
  const listed = readTable('Log lines');
  for (const stem of stems) {
    assert.ok(
      listed.some(code => code.startsWith(stem)),
      stem,
    );
  }
  const expected = [...codes, ...states];
  const fixed = listed.filter(
    code =>
      expected.includes(code) || !stems.some(stem => code.startsWith(stem)),
  );
  assertSame(fixed, expected);
});

Then("the settings of the operators' page are those of the schema", () => {
  assertSame(readTable('Settings'), listSettings(settingsSchema, ''));
});

function isMetric(name: string): boolean {
  return name.startsWith('wasabidyke_');
}

Then('the manifest in the README has no findings', () => {
  const [, after] = readFileSync('README.md', 'utf8').split('```jsonc\n');
  const [text] = after.split('```');
  const {name} = parseManifest('README.md', text).unwrap();
  assert.equal(name, 'my-site');
});
