/**
 * Bundles the entry for the users' platform into target/, from the sources of
 * all packages, together with its compiled code: a restart reads two files and
 * compiles next to nothing.
 */

import {readdirSync, writeFileSync} from 'node:fs';
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
  metafile: true,
  logLevel: 'warning',
}).then(({metafile}) =>
  writeFileSync('target/bundle.json', JSON.stringify(metafile)),
);
