/** Limits of time for steps: generous, since they start processes on machines that may be busy. */

import {setDefaultTimeout} from '@cucumber/cucumber';

const STEP_TIMEOUT_MS = 60_000;

setDefaultTimeout(STEP_TIMEOUT_MS);
