/** A manifest without findings, for tests to start from. */

import type {manifestSchema} from '@wasabidyke/manifest';
import type {z} from 'zod';

type ManifestInput = z.input<typeof manifestSchema>;

/** A manifest without findings: two regions, two services. */
export const GOOD_MANIFEST: ManifestInput = {
  name: 'small',
  regions: [
    {name: 'north', zones: ['north-a', 'north-b']},
    {name: 'south', zones: ['south-a']},
  ],
  entries: {maximum: 4},
  loadWatch: {
    preference: 'tail-first',
    requestsPerSecond: 10,
    bytesPerSecond: 20_000,
    crossRegionBytesPerSecond: 2_000,
  },
  services: [
    {
      name: 'shop',
      requests: [
        {
          name: 'look',
          methods: ['GET', 'HEAD'],
          kind: 'idempotent',
          timeoutMs: 1_000,
          retries: 2,
        },
        {
          name: 'order',
          methods: ['POST'],
          path: '/orders',
          kind: 'at-most-once',
          timeoutMs: 5_000,
        },
      ],
      upstreams: [
        createUpstream('shop-1', '192.0.2.1:9001', 'north', 'north-a', 'vm-1'),
        createUpstream('shop-2', '192.0.2.2:9001', 'south', 'south-a', 'vm-2'),
      ],
    },
    {
      name: 'photos',
      requests: [
        {name: 'batch', methods: ['PUT'], kind: 'bulk', timeoutMs: 60_000},
      ],
      upstreams: [
        createUpstream(
          'photos-1',
          '192.0.2.1:9002',
          'north',
          'north-a',
          'vm-1',
        ),
      ],
    },
  ],
};

function createUpstream(
  name: string,
  address: string,
  region: string,
  zone: string,
  vm: string,
): ManifestInput['services'][number]['upstreams'][number] {
  return {name, address, region, zone, vm, slots: 4, connections: 200};
}
