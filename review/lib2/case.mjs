/** Frame of a case: its record, its time limit and its exit status. */

import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {COULD_NOT_RUN, endAll} from './entries.mjs';

const TIME_LIMIT_MS = 110_000;

/** Whether the disruption takes place. */
export const IS_DISTURBED = process.env.TROUBLE !== '0';

/**
 * Runs a case and ends this process: with 1 if the rule was broken, 0 if it
 * held, 2 if the case could not run.
 * @param play Takes a function that writes a line to the record, and returns whether the rule was broken.
 */
export async function runCase(directory, play) {
  const startMs = performance.now();
  const lines = [];
  const note = text => {
    const seconds = ((performance.now() - startMs) / 1_000).toFixed(3);
    lines.push(`${seconds.padStart(8)} ${text}`);
  };
  const end = status => {
    note(`exit ${status}`);
    writeFileSync(join(directory, 'record.txt'), `${lines.join('\n')}\n`);
    endAll();
    process.exit(status);
  };
  setTimeout(() => {
    note('the time limit is over');
    end(COULD_NOT_RUN);
  }, TIME_LIMIT_MS);
  for (const event of ['uncaughtException', 'unhandledRejection']) {
    process.once(event, error => {
      note(`the case could not run: ${error.stack}`);
      end(COULD_NOT_RUN);
    });
  }
  for (const signal of ['SIGTERM', 'SIGINT']) {
    process.once(signal, () => end(COULD_NOT_RUN));
  }
  try {
    note(IS_DISTURBED ? 'with the disruption' : 'without the disruption');
    end((await play(note)) ? 1 : 0);
  } catch (error) {
    note(`the case could not run: ${error.stack}`);
    end(COULD_NOT_RUN);
  }
}
