/** Set up before the steps. */

import {setDefaultTimeout} from '@cucumber/cucumber';

/** Time for one step; generous, so that a busy machine doesn't decide. */
const STEP_LIMIT_MS = 60_000;

setDefaultTimeout(STEP_LIMIT_MS);
