/** Wires the parts of an entry. Tests may register others in their place. */

import {createManifestSource, createPlatform, type Platform} from './control/platform.js';
import {OperatorServer} from '@wasabidyke/operator';
import type {Settings} from '@wasabidyke/operator';
import {
  CrashGuard,
  RetryBudget,
  SeededRandom,
  type RandomSource,
} from '@wasabidyke/policy';
import {
  MetricRegistry,
  Reporter,
  SystemClock,
  TimeLine,
  type Clock,
} from '@wasabidyke/shared';
