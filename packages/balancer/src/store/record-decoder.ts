/** What a record of the store says. */

import type {UpstreamRecord} from '../members/upstream-record.js';
import type {RoutingConfiguration} from '../routing/routing-configuration.js';

/** What a record says, or which one vanished. */
export type Fact =
  | {
      readonly kind: 'configuration';
      readonly configuration: RoutingConfiguration | undefined;
      readonly problem?: string;
    }
  | {
      readonly kind: 'upstream';
      readonly id: string;
      readonly isPresent: boolean;
      readonly record: UpstreamRecord | undefined;
      readonly problem?: string;
    }
  | {readonly kind: 'other'};

/** Reads records that others than entries have written. */
export abstract class RecordDecoder {
  /** @param value Undefined when the record vanished. */
  abstract decode(key: string, value: Buffer | undefined): Fact;
}
