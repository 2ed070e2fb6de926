/** What becomes of a request. */

import type {CompleteAnswer} from '../exchange/exchange.js';
import type {Refusal} from './routed-request.js';

/** An answer, and the id of the upstream that gave it. */
export interface UpstreamAnswer {
  readonly kind: 'answer';
  readonly answer: CompleteAnswer;
  readonly upstream: string;
}

/** Result of a request; undefined if the caller closed its connection first. */
export type DispatchResult =
  | UpstreamAnswer
  | {readonly kind: 'refusal'; readonly refusal: Refusal}
  | undefined;
