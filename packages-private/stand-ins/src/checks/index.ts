/** The checks over a history, one a promise. */

import {checkAtMostOnce} from './at-most-once.js';
import type {Check, PromiseName} from './check.js';
import {checkLeavingUpstream} from './leaving-upstream.js';
import {checkLoadWatch} from './load-watch.js';
import {checkManifest} from './manifest.js';
import {checkNotRun} from './not-run.js';
import {checkPlannedStop} from './planned-stop.js';
import {checkPoison} from './poison.js';
import {checkWholeAnswer} from './whole-answer.js';

export * from './check.js';

/** The check of each promise. */
export const CHECKS: Readonly<Record<PromiseName, Check>> = {
  'at-most-once': checkAtMostOnce,
  'not-run': checkNotRun,
  'whole-answer': checkWholeAnswer,
  'leaving-upstream': checkLeavingUpstream,
  'planned-stop': checkPlannedStop,
  manifest: checkManifest,
  'load-watch': checkLoadWatch,
  poison: checkPoison,
};
