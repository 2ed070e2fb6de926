/** Prepares a fresh checkout: installs from the lockfile and builds what changed. */

import {spawnSync} from 'node:child_process';
import {existsSync, readFileSync} from 'node:fs';

const INSTALLED_LOCKFILE = 'node_modules/.package-lock.json';

function run(command, commandArguments) {
  const finished = spawnSync(command, commandArguments, {stdio: 'inherit'});
  if (finished.status !== 0) {
    process.exit(finished.status ?? 1);
  }
}

function isInstalled() {
  if (!existsSync(INSTALLED_LOCKFILE)) {
    return false;
  }
  const wanted = JSON.parse(readFileSync('package-lock.json', 'utf8')).packages;
  const present = JSON.parse(readFileSync(INSTALLED_LOCKFILE, 'utf8')).packages;
  return Object.entries(wanted).every(
    ([path, entry]) =>
      !path.startsWith('node_modules/') ||
      entry.optional ||
      (present[path] !== undefined && present[path].version === entry.version),
  );
}

if (!isInstalled()) {
  run('npm', ['ci', '--prefer-offline', '--no-audit', '--no-fund']);
}
run('node_modules/.bin/tsc', ['-b']);
