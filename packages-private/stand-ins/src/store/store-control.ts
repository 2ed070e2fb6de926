/** The control port of the store stand-in. */

import fastify, {type FastifyInstance} from 'fastify';
import {z} from 'zod';
import {storeFaultsSchema} from './faults.js';
import type {StoreStandIn} from './store-stand-in.js';

const writeSchema = z.strictObject({key: z.string(), value: z.string()});

const lapseSchema = z.strictObject({lease: z.string().optional()});

/**
 * Builds the control port:
 * `PUT /faults` sets all faults anew, `POST /lapse` ends one lease or all,
 * `POST /write` writes past the gateway, `GET /counts` gives the calls by
 * kind and `GET /history` the writes as JSON lines, oldest first.
 */
export function createStoreControl(store: StoreStandIn): FastifyInstance {
  const app = fastify({bodyLimit: 8 * 1_024 * 1_024});
  app.put('/faults', async request => {
    await store.setFaults(storeFaultsSchema.parse(request.body));
    return {};
  });
  app.post('/lapse', async request => {
    const {lease} = lapseSchema.parse(request.body);
    if (lease === undefined) {
      store.keys.lapseAll();
    } else {
      store.keys.lapse(lease);
    }
    return {};
  });
  app.post('/write', async request => {
    const {key, value} = writeSchema.parse(request.body);
    const write = store.keys.write(toBase64(key), toBase64(value));
    return {revision: write.revision};
  });
  app.get('/counts', async () => store.counts);
  app.get('/history', async (_request, reply) => {
    const lines = store.keys.history.map(write =>
      JSON.stringify({
        ...write,
        key: fromBase64(write.key),
        value: write.value && fromBase64(write.value),
      }),
    );
    return reply.type('application/jsonl').send(lines.join('\n'));
  });
  return app;
}

function toBase64(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

function fromBase64(text: string): string {
  return Buffer.from(text, 'base64').toString('utf8');
}
