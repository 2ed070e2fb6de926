/**
 * Bundles the entry for the users' platform into one file under target/, from
 * the sources of all packages, so that a restart reads one small file.
 */

import {readdirSync} from 'node:fs';
import {build} from 'esbuild';

const packages = readdirSync('packages').map(name => [
  `@wasabidyke/${name}`,
  `./packages/${name}/src/index.ts`,
]);

/** Libraries of which only a part is loaded. */
const PARTS = {
  undici: './scripts/bundle/undici.cjs',
  'hdr-histogram-js': './scripts/bundle/hdr-histogram-js.cjs',
};

/** Lets the parts reach into their libraries, whose names are replaced elsewhere. */
const partsPlugin = {
  name: 'parts',
  setup(bundle) {
    bundle.onResolve({filter: /^(undici|hdr-histogram-js)$/}, ({path}) => ({
      path: new URL(`../${PARTS[path]}`, import.meta.url).pathname,
    }));
  },
};

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/wasabidyke-entry.cjs',
  alias: Object.fromEntries(packages),
  plugins: [partsPlugin],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  mainFields: ['module', 'main'],
  minifySyntax: true,
  minifyWhitespace: true,
  logLevel: 'warning',
});
