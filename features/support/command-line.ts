/** Runs the operators' command line as a child process. */

import {execFile} from 'node:child_process';
import {fileURLToPath} from 'node:url';

const BINARY = fileURLToPath(
  new URL('../../../packages/command/bin/wasabidyke.mjs', import.meta.url),
);

/** Time after which a run is ended; far above any expected. */
const RUN_LIMIT_MS = 50_000;

/** How a run ended. */
export interface CommandRun {
  readonly status: number | null;
  readonly output: string;
  readonly messages: string;
}

/** Runs one command to its end. */
export function runCommandLine(
  words: readonly string[],
  directory: string,
  environment: NodeJS.ProcessEnv = {},
): Promise<CommandRun> {
  const {PATH} = process.env;
  const options = {
    cwd: directory,
    env: {PATH, NO_COLOR: '1', ...environment},
    timeout: RUN_LIMIT_MS,
  };
  return new Promise(resolve => {
    const child = execFile(
      process.execPath,
      [BINARY, ...words],
      options,
      (_error, output, messages) =>
        resolve({status: child.exitCode, output, messages}),
    );
  });
}
