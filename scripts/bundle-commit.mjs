/**
 * Bundles the entry of an earlier commit into .runs/builds/COMMIT, from the
 * repository's history and with the libraries of this checkout:
 * `node scripts/bundle-commit.mjs COMMIT`. A shallow clone lacks the commit.
 */

import {spawnSync} from 'node:child_process';
import {existsSync, mkdirSync, symlinkSync} from 'node:fs';
import {join, resolve} from 'node:path';

const FAILED_STATUS = 1;
const [commit] = process.argv.slice(2);

function run(command, commandArguments, options) {
  const finished = spawnSync(command, commandArguments, {
    stdio: ['pipe', 'pipe', 'inherit'],
    maxBuffer: Infinity,
    ...options,
  });
  if (finished.status !== 0) {
    console.error(`${command} ${commandArguments.join(' ')} failed`);
    process.exit(FAILED_STATUS);
  }
  return finished.stdout;
}

if (commit === undefined || !/^[0-9a-f]{7,40}$/.test(commit)) {
  console.error(`'${commit}' is no commit: give its abbreviated or whole id`);
  process.exit(FAILED_STATUS);
}
const directory = resolve('.runs/builds', commit);
const program = join(directory, 'target/wasabidyke-entry.cjs');
if (!existsSync(program)) {
  mkdirSync(directory, {recursive: true});
  const parts = ['packages', 'platform', 'scripts', 'tsconfig.base.json'];
  const archive = run('git', ['archive', commit, ...parts]);
  run('tar', ['-x', '-C', directory], {input: archive});
  const libraries = join(directory, 'node_modules');
  if (!existsSync(libraries)) {
    symlinkSync(resolve('node_modules'), libraries);
  }
  run(process.execPath, ['scripts/bundle.mjs'], {cwd: directory});
}
console.log(program);
