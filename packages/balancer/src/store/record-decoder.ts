/** Decoding of store records. */

import type {UpstreamRecord} from '../members/upstream-record.js';
import type {RoutingConfiguration} from '../routing/routing-configuration.js';

/** A decoded record, or the identity of a deleted one. */
export type DecodedRecord =
  | {
      readonly kind: 'configuration';
      readonly configuration: RoutingConfiguration | undefined;
      /** Reason why the record can't be decoded. */
      readonly problem?: string;
    }
  | {
      readonly kind: 'upstream';
      readonly id: string;
      /** Whether the record exists; if so and `record` is undefined, it can't be decoded. */
      readonly isPresent: boolean;
      readonly record: UpstreamRecord | undefined;
      readonly problem?: string;
    }
  | {
      readonly kind: 'evacuation';
      /** Availability zone whose upstreams get no requests while the record exists. */
      readonly zone: string;
      readonly isInForce: boolean;
    }
  | {readonly kind: 'other'};

/** Decodes the records of operators and upstreams. */
export abstract class RecordDecoder {
  /** @param value Undefined when the record was deleted. */
  abstract decode(key: string, value: Buffer | undefined): DecodedRecord;
}
