/** What the exit status of the command line tells. */

import type {OperatorError} from '@wasabidyke/operator';

/** Exit statuses of every command. */
export const ExitStatus = {
  /** Done. */
  DONE: 0,
  /** Refused or not sent; nothing was changed. */
  REFUSED: 1,
  /** Wrong use, or input with findings. */
  BAD_INPUT: 2,
  /** No usable answer; for a submission, it may or may not be in force. */
  UNKNOWN: 3,
} as const;

/** Exit status of a command. */
export type ExitStatus = (typeof ExitStatus)[keyof typeof ExitStatus];

/** Statuses by which an entry says that the question itself is wrong. */
const BAD_INPUT_STATUSES: ReadonlySet<number> = new Set([400, 413, 415]);

/** First status by which an entry says that it failed. */
const FIRST_FAILURE_STATUS = 500;

/** The exit status after a question that has no answer. */
export function toExitStatus({kind, status = 0}: OperatorError): ExitStatus {
  switch (kind) {
    case 'unreachable':
      return ExitStatus.REFUSED;
    case 'no-answer':
    case 'malformed':
      return ExitStatus.UNKNOWN;
    case 'refused':
      if (status >= FIRST_FAILURE_STATUS) {
        return ExitStatus.UNKNOWN;
      }
      return BAD_INPUT_STATUSES.has(status)
        ? ExitStatus.BAD_INPUT
        : ExitStatus.REFUSED;
  }
}
