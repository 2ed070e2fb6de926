/** An entry with other parts than its own: `main.js --settings FILE [--weakened NAME] [--short-leases]`. */

import {runEntry} from '@wasabidyke/entry';
import {Command} from 'commander';
import {WEAKENINGS} from './index.js';
import {shortenLeases} from './short-leases.js';

const options = new Command()
  .requiredOption('--settings <file>')
  .option('--weakened <name>')
  .option('--short-leases')
  .parse()
  .opts<{settings: string; weakened?: string; shortLeases?: boolean}>();
await runEntry(options.settings, container => {
  if (options.shortLeases) {
    shortenLeases(container);
  }
  if (options.weakened !== undefined) {
    WEAKENINGS[options.weakened].change(container);
  }
});
