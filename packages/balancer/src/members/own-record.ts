/** What an entry announces of itself. */

import type {BalancerSettings} from '../balancer-settings.js';
import type {EntryRecord} from './entry-record.js';

/** Creates the record of this entry, without the sequence that orders statements on it. */
export function toOwnRecord(
  settings: BalancerSettings,
): Omit<EntryRecord, 'sequence'> {
  return {
    feedAddress: settings.listen.feed.text,
    tellsEra: true,
    grantsQuotas: true,
    name: settings.name,
    address: settings.listen.callers.text,
    region: settings.region,
    zone: settings.zone,
  };
}
