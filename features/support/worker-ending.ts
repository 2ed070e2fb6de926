/** How a request ends the scripted worker that runs it. */

/** When in the life of a request its worker ends. */
export type WorkerEnding =
  | 'before its answer'
  | 'after a part of its answer'
  | 'within a chunked answer'
  | 'after an answer that is broken off'
  | 'after its caller left'
  | 'after its deadline'
  | 'in silence'
  /** It stands still for a while and lives on. */
  | 'in a pause';

/** What the worker does with a request that ends it. */
export interface EndingPlan {
  /** Bytes that it writes first. */
  readonly answer: string;
  /** Time from the arrival of the request to the end, in milliseconds. */
  readonly endsAfterMs: number;
  /** Whether it answers nothing more until then, whoever asks. */
  readonly isSilent: boolean;
  /** Whether it goes on then, rather than ends. */
  readonly livesOn?: boolean;
}

/** What the caller of such a request does. */
export interface CallerHabit {
  readonly deadlineMs?: number;
  /** Time after which it closes its connection, in milliseconds. */
  readonly leavesAfterMs?: number;
}

const HEAD_END = '\r\n\r\n';
const SENT_WHOLE = 'x'.repeat(40);
const SENT_PART = 'x'.repeat(10);

/** Deadline that a worker outlives, and the time after which it ends then, in milliseconds. */
const SHORT_DEADLINE_MS = 300;
const AFTER_DEADLINE_MS = 500;

/** Returns what a worker does with a request that ends it. */
export function planEnding(
  ending: WorkerEnding,
  requestId: string,
): EndingPlan {
  const signed = `HTTP/1.1 200 OK\r\nWasabidyke-Attempt-Id: ${requestId}\r\nWasabidyke-Server-Seal: seal\r\n`;
  switch (ending) {
    case 'before its answer':
      return {answer: '', endsAfterMs: 0, isSilent: false};
    case 'after a part of its answer':
      return {
        answer: `${signed}Content-Length: ${SENT_WHOLE.length}${HEAD_END}${SENT_PART}`,
        endsAfterMs: 20,
        isSilent: false,
      };
    case 'within a chunked answer':
      return {
        answer: `${signed}Transfer-Encoding: chunked${HEAD_END}a\r\n${SENT_PART}\r\n`,
        endsAfterMs: 20,
        isSilent: false,
      };
    case 'after an answer that is broken off':
      // Without a seal, an entry ends the exchange itself.
      return {
        answer: `HTTP/1.1 200 OK\r\nContent-Length: ${SENT_WHOLE.length}${HEAD_END}${SENT_PART}`,
        endsAfterMs: 10,
        isSilent: false,
      };
    case 'after its caller left':
      return {answer: '', endsAfterMs: 150, isSilent: false};
    case 'after its deadline':
      return {answer: '', endsAfterMs: AFTER_DEADLINE_MS, isSilent: false};
    case 'in silence':
      return {answer: '', endsAfterMs: 4_000, isSilent: true};
    case 'in a pause':
      return {answer: '', endsAfterMs: 2_500, isSilent: true, livesOn: true};
  }
}

/** Returns what the caller does whose request ends a worker in this way. */
export function habitOf(ending: WorkerEnding): CallerHabit {
  switch (ending) {
    case 'after its caller left':
      return {leavesAfterMs: 60};
    case 'after its deadline':
      return {deadlineMs: SHORT_DEADLINE_MS};
    case 'in silence':
    case 'in a pause':
      return {deadlineMs: 1_000};
    default:
      return {};
  }
}
