/** What callers and workers saw, and what was done to the system. Times are on one monotonic clock, in milliseconds. */

import type {KeyRecord} from './accounts.js';
import type {LimitRecord, RouteRecord} from './routes.js';

/** One send of a request by a caller, and what became of it. */
export interface CallRecord {
  readonly id: string;
  readonly kind: 'safe' | 'unsafe';
  readonly path: string;
  /** Entry that it was sent to. */
  readonly entry: string;
  readonly sentAtMs: number;
  endedAtMs?: number;
  /** Undefined when the connection ended without a whole answer. */
  status?: number;
  body?: string;
  worker?: string;
  /** When the answer says to come back, in seconds. */
  retryAfterSeconds?: number;
  error?: string;
  /** Whether it crashes each worker that begins to run it. */
  readonly isCrashing?: true;
  /** Whether its work may outlast the stop of its entry. */
  readonly isLong?: true;
  /** Whether it is one of more than the quota of its account allows. */
  readonly isSurging?: true;
  /** Whether it came long after its connection was opened, so that it may be refused for that. */
  readonly isLate?: true;
  /** Whether it tries what entries may refuse; checks that count how many are served leave it out. */
  readonly isProbe?: true;
  /** The usual one if undefined. */
  readonly host?: string;
  /** Size of its head and body in bytes, where they are near the limits. */
  readonly headBytes?: number;
  readonly bodyBytes?: number;
  /** When the caller gave up. */
  leftAtMs?: number;
  /** Key of its client account. */
  readonly key?: string;
  /** Whether its key may have been revoked, so that it may be refused for that. */
  readonly isRevocable?: true;
}

/** A request as a worker read it. */
export interface ArrivalRecord {
  readonly id: string;
  readonly worker: string;
  readonly service: string;
  readonly path: string;
  readonly body: string;
  readonly atMs: number;
  /** Entry whose process sent it; known only at workers that rest or leave. */
  readonly sender?: string;
  /** Name of the client account that it came with. */
  readonly account?: string;
  /** Whether the key of the account came with it. */
  readonly hasKey?: boolean;
  /** False when the worker refused it before running. */
  hasRun: boolean;
  /** When its connection ended while it ran. */
  brokenOffAtMs?: number;
  endedAtMs?: number;
}

/** A span in which something was disturbed from outside. */
export interface Disturbance {
  /** An entry, a worker or `store`. */
  readonly subject: string;
  readonly what: string;
  readonly fromMs: number;
  readonly toMs: number;
  /** Whether it was a planned stop. */
  readonly isPlanned: boolean;
}

/** A worker that announced its leaving, or that vanished. */
export interface Leaving {
  readonly worker: string;
  readonly atMs: number;
}

/** A configuration that was written: which service the moving route goes to, all routes, and the limits. */
export interface ConfigurationRecord {
  readonly version: number;
  readonly movedTo: string;
  readonly routes: readonly RouteRecord[];
  readonly limits: LimitRecord;
  readonly atMs: number;
}

/** A list of entries that a caller got. */
export interface ListRecord {
  /** Entry that answered. */
  readonly entry: string;
  readonly addresses: readonly string[];
  readonly atMs: number;
}

/** A span in which the process of an entry stood still. */
export interface Absence {
  readonly entry: string;
  readonly fromMs: number;
  /** When it went on, or was started again. */
  toMs: number;
}

/** A span in which a worker named a limit. */
export interface NamedLimit {
  readonly worker: string;
  readonly requestsPerSecond: number;
  /** When it first answered with it. */
  readonly fromMs: number;
  toMs: number;
}

/** A span in which an entry had no links to workers, or to some of them. */
export interface Cut {
  readonly entry: string;
  readonly isPartial: boolean;
  readonly fromMs: number;
  readonly toMs: number;
}

/** An answer by which a worker asked an entry for rest. */
export interface Rest {
  readonly worker: string;
  readonly entry: string;
  readonly fromMs: number;
  readonly restMs: number;
}

/** An answer by which a worker told an entry that it leaves. */
export interface LeavingAnswer {
  readonly worker: string;
  readonly entry: string;
  readonly atMs: number;
}

/** A span in which the store held the evacuation record of a zone. */
export interface Evacuation {
  readonly zone: string;
  readonly fromMs: number;
  toMs: number;
}

/** Everything that was seen in one run. */
export class History {
  readonly calls: CallRecord[] = [];
  readonly arrivals: ArrivalRecord[] = [];
  readonly disturbances: Disturbance[] = [];
  readonly leavings: Leaving[] = [];
  readonly configurations: ConfigurationRecord[] = [];
  /** Keys of client accounts; none if the run has no accounts. */
  readonly keys: KeyRecord[] = [];
  readonly lists: ListRecord[] = [];
  readonly absences: Absence[] = [];
  readonly limits: NamedLimit[] = [];
  readonly cuts: Cut[] = [];
  readonly rests: Rest[] = [];
  readonly leavingAnswers: LeavingAnswer[] = [];
  readonly evacuations: Evacuation[] = [];
  /** Availability zones of workers, by their ids. */
  readonly zones = new Map<string, string>();
  /** Starts of entries, by name. */
  readonly starts: Array<{
    readonly entry: string;
    /** Where it takes callers. */
    readonly address?: string;
    readonly atMs: number;
  }> = [];
  /** Processes that ended by themselves. */
  readonly exits: Array<{readonly entry: string; readonly status: number}> = [];
  /** When the last fault was over. */
  calmFromMs = Infinity;
  /** Whether callers send nothing more. */
  isOver = false;

  /** Whether a subject was left alone over a span. */
  isCalm(subject: string, fromMs: number, toMs: number): boolean {
    return !this.disturbances.some(
      other =>
        other.subject === subject && other.fromMs < toMs && other.toMs > fromMs,
    );
  }
}

/** The monotonic clock of a run, in milliseconds. */
export function nowMs(): number {
  return performance.now();
}
