/** Logs many lines of many events to standard output and tells on standard error how many were dropped. */

import {JsonDecisionLog, openStandardOutput} from '@wasabidyke/balancer';
import {MetricRegistry, SystemClock} from '@wasabidyke/shared';

const LINES = Number(process.argv[2]);
const PADDING = 'x'.repeat(200);

let dropped = 0;
const destination = openStandardOutput(() => (dropped += 1));
const log = new JsonDecisionLog(
  'flood',
  destination,
  new SystemClock(),
  new MetricRegistry(),
);
for (let line = 0; line < LINES; line++) {
  // Each event has a limit of its own, so that the reader alone holds back.
  log.record(`event.${line}`, {padding: PADDING});
}
process.stderr.write(`${dropped}\n`, () => process.exit(0));
