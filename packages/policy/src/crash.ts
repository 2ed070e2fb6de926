/** Crashes of upstreams under one request. */

/** An upstream that crashed while it ran a request. */
export interface Crash {
  /** Identifies the start of the upstream's process. */
  readonly upstream: string;
  /** Fingerprint of the request's caller; undefined where callers are not told apart. */
  readonly caller?: string;
  /** When the request was sent to the upstream and when the connection broke, on the wall clock in milliseconds; undefined if not known. */
  readonly span?: {readonly fromMs: number; readonly toMs: number};
}

/** A caller with more than this share of the crashes explains them alone. */
const SINGLE_CALLER_SHARE = 0.5;

/** The upstreams of crashes. */
export function upstreamsOf(crashes: readonly Crash[]): ReadonlySet<string> {
  return new Set(crashes.map(({upstream}) => upstream));
}

/** Merges crashes; an upstream counts once for each caller. */
export function mergeCrashes(
  left: readonly Crash[],
  right: readonly Crash[],
): readonly Crash[] {
  const known = new Set(left.map(toIdentity));
  return [...left, ...right.filter(crash => !known.has(toIdentity(crash)))];
}

function toIdentity({upstream, caller = ''}: Crash): string {
  return `${upstream} ${caller}`;
}

/**
 * Greatest number of upstreams that crashed in turn: the request was sent to
 * each of them after the one before had crashed.
 */
export function countSuccessive(crashes: readonly Crash[]): number {
  const byUpstream = new Map(crashes.map(crash => [crash.upstream, crash]));
  const spans = [...byUpstream.values()]
    .map(({span}) => span)
    .filter(span => span !== undefined)
    .sort((left, right) => left.toMs - right.toMs);
  let count = byUpstream.size - spans.length;
  let lastEndMs = -Infinity;
  for (const {fromMs, toMs} of spans) {
    if (fromMs >= lastEndMs) {
      count += 1;
      lastEndMs = toMs;
    }
  }
  return count;
}

/** Whether several callers share the crashes, with none having most of them. */
export function isSpread(crashes: readonly Crash[]): boolean {
  const upstreamsByCaller = new Map<string, Set<string>>();
  for (const {upstream, caller} of crashes) {
    if (caller === undefined) {
      return false;
    }
    const upstreams = upstreamsByCaller.get(caller) ?? new Set();
    upstreamsByCaller.set(caller, upstreams.add(upstream));
  }
  const limit = upstreamsOf(crashes).size * SINGLE_CALLER_SHARE;
  return [...upstreamsByCaller.values()].every(({size}) => size <= limit);
}
