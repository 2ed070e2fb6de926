/** What answers that are being received may take, over all upstreams. */

import {AnswerPace} from './answer-pace.js';
import {MemoryBudget} from './memory-budget.js';

/** Memory for answers that are being received, in bytes: two of the largest size, a sixth of what an entry may take. */
const CAPACITY_BYTES = 33_554_432;

/** Memory and pace of the answers that are being received. */
export class AnswerMemory extends MemoryBudget {
  readonly pace = new AnswerPace();

  constructor() {
    super(CAPACITY_BYTES);
  }
}
