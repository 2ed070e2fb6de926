/**
 * Bundles the entry for the users' platform into one file under target/, from
 * the sources of all packages, so that a start reads one small file.
 */

import {readdirSync} from 'node:fs';
import {build} from 'esbuild';

/** Lets bundled CommonJS libraries ask for Node's own modules. */
const REQUIRE_BANNER =
  "import {createRequire as createNodeRequire} from 'node:module';" +
  'const require = createNodeRequire(import.meta.url);';

const packages = readdirSync('packages').map(name => [
  `@wasabidyke/${name}`,
  `./packages/${name}/src/index.ts`,
]);

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/wasabidyke-entry.mjs',
  alias: Object.fromEntries(packages),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  mainFields: ['module', 'main'],
  banner: {js: REQUIRE_BANNER},
  minifySyntax: true,
  logLevel: 'warning',
});
