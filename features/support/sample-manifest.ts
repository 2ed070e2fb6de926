/** Small sound manifests. */

/** How a sample differs from the plain one. */
export interface SampleOptions {
  readonly orderKind?: 'at-most-once' | 'idempotent';
  readonly comment?: string;
}

/** The text of a manifest of this name. */
export function createSampleManifest(
  name: string,
  {orderKind = 'at-most-once', comment = ''}: SampleOptions = {},
): string {
  const manifest = {
    name: name.toLowerCase(),
    regions: [{name: 'north', zones: ['north-a']}],
    entries: {maximum: 4},
    loadWatch: {
      preference: 'tail-first',
      requestsPerSecond: 10,
      bytesPerSecond: 100,
      crossRegionBytesPerSecond: 10,
    },
    services: [
      {
        name: 'shop',
        requests: [
          {name: 'order', methods: ['POST'], kind: orderKind, timeoutMs: 1_000},
        ],
        upstreams: [
          {
            name: 'shop-1',
            address: '127.0.0.1:9001',
            region: 'north',
            zone: 'north-a',
            vm: 'vm-1',
            slots: 4,
            connections: 200,
          },
        ],
      },
    ],
  };
  return `// ${comment}\n${JSON.stringify(manifest)}`;
}
