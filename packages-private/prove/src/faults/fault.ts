/** What can be done to a site while requests are under way. */

import type {Sampler} from '../site/sampler.js';
import type {Site} from '../site/site.js';

/** What faults act on. */
export interface FaultContext {
  readonly site: Site;
  readonly sampler: Sampler;
}

/** What a fault can be aimed at. */
export type TargetKind = 'entry' | 'worker' | 'site';

/** Something that is done to a site, and ended again. */
export abstract class Fault {
  /** What it can be aimed at. */
  abstract readonly targetKind: TargetKind;

  /** Begins it. @param target Name of an entry or a worker. */
  abstract begin(context: FaultContext, target: string): Promise<void>;

  /** Ends it. */
  abstract end(context: FaultContext, target: string): Promise<void>;

  /** What the history calls it. */
  abstract readonly historyName: string;
}
