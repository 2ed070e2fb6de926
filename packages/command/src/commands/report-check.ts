/** How the commands that check a file end. */

import type {Finding} from '@wasabidyke/shared';
import {ExitStatus} from '../exit-status.js';
import {countFindings, type Output} from '../output.js';

/** Options of the commands that check a file. */
export interface CheckOptions {
  readonly json?: boolean;
}

/** Writes what a check found. */
export function reportCheck(
  file: string,
  findings: readonly Finding[],
  isJson: boolean | undefined,
  output: Output,
): ExitStatus {
  if (isJson) {
    output.writeJson({findings});
  } else {
    output.writeFindings(findings);
  }
  if (findings.length > 0) {
    output.error(`${file}: ${countFindings(findings.length)}.`);
    return ExitStatus.BAD_INPUT;
  }
  output.success(`${file}: no findings.`);
  return ExitStatus.DONE;
}
