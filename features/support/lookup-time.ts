/** Time of one call of a function that takes far less than a timer shows. */

/** Calls in one batch, and batches. The quickest batch counts, so that a busy machine doesn't decide. */
const BATCH_CALLS = 20_000;
const BATCHES = 9;

/** Measures a function, in microseconds for each call. @param run Gets the number of the call. */
export function microsecondsOf(run: (index: number) => unknown): number {
  let bestMs = Infinity;
  for (let batch = 0; batch < BATCHES; batch++) {
    const startMs = performance.now();
    for (let call = 0; call < BATCH_CALLS; call++) {
      run(call);
    }
    bestMs = Math.min(bestMs, performance.now() - startMs);
  }
  return (bestMs * 1_000) / BATCH_CALLS;
}
