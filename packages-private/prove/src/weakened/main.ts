/** An entry with a naive part in place of its own: `main.js --settings FILE --weakened NAME`. */

import {runEntry} from '@wasabidyke/entry';
import {Command} from 'commander';
import {WEAKENINGS} from './index.js';

const options = new Command()
  .requiredOption('--settings <file>')
  .requiredOption('--weakened <name>')
  .parse()
  .opts<{settings: string; weakened: string}>();
await runEntry(options.settings, WEAKENINGS[options.weakened].change);
