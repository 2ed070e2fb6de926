/** What every command is given to work with. */

import type {ExitStatus} from './exit-status.js';
import type {Output} from './output.js';

/** What every command is given to work with. */
export interface CommandContext {
  readonly output: Output;
  readonly environment: NodeJS.ProcessEnv;
  /** Takes the exit status of the command that ran. */
  readonly finish: (status: ExitStatus) => void;
}

/** Formats examples for the end of a command's help. */
export function formatExamples(examples: readonly string[]): string {
  const lines = examples.map(example => `  $ wasabidyke ${example}`);
  return `\nExamples:\n${lines.join('\n')}`;
}
