/** The operators' command line, as a process. */

import {Output} from './output.js';
import {runCommand} from './program.js';

// A reader such as `head` may close the pipe before everything is written.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code !== 'EPIPE') {
    throw error;
  }
});

process.exitCode = await runCommand(
  process.argv.slice(2),
  process.env,
  new Output(process.stdout, process.stderr),
);
