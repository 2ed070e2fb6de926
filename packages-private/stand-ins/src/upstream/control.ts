/** The control port of the upstream stand-in. */

import fastify, {type FastifyInstance} from 'fastify';
import type {HistoryRecorder} from '../history/index.js';
import type {UpstreamProcess} from './process.js';
import {controlChangeSchema, type ControlChange} from './settings.js';

/** Creates the control server: `GET /workers` tells counts, `POST /change` changes workers. */
export function createControlServer(
  upstream: UpstreamProcess,
  history: HistoryRecorder,
): FastifyInstance {
  const server = fastify();
  server.get('/workers', () => upstream.describe());
  server.post('/change', (request, reply) => {
    const change = controlChangeSchema.safeParse(request.body);
    if (!change.success) {
      return reply.status(400).send({issues: change.error.issues});
    }
    applyChange(upstream, history, change.data);
    return {};
  });
  return server;
}

function applyChange(
  upstream: UpstreamProcess,
  history: HistoryRecorder,
  change: ControlChange,
): void {
  for (const worker of upstream.select(change.workers)) {
    const wasLeaving = worker.faults.leaving;
    worker.faults = {...worker.faults, ...change.faults};
    worker.serviceTime = change.serviceTime ?? worker.serviceTime;
    if (worker.faults.leaving && !wasLeaving) {
      const {name} = worker.settings;
      history.record({kind: 'leaving-told', worker: name, way: 'signal'});
    }
  }
  upstream.isOracle = change.isOracle ?? upstream.isOracle;
}
