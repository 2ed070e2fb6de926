/** The routes of the operators' interface. */

import type {FastifyInstance, FastifyReply} from 'fastify';
import {
  manifestSubmissionSchema,
  type Problem,
  type SubmissionAnswer,
} from './messages.js';
import {PROBLEM_MEDIA_TYPE, createProblem} from './problem.js';
import type {OperatorService} from './service.js';

/** Media type of the Prometheus text format. */
const METRICS_MEDIA_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

/** When to ask again after an outcome that is unknown, in seconds. */
const RETRY_AFTER_SECONDS = 2;

/** Adds every route. */
export function addRoutes(
  fastify: FastifyInstance,
  service: OperatorService,
): void {
  fastify.get('/v1/status', async () => service.readStatus());
  fastify.get('/v1/manifest', async (_request, reply) =>
    orNoManifest(service.readManifest(), reply),
  );
  fastify.get('/v1/manifest/status', async () => service.readManifestStatus());
  fastify.get('/v1/entries', async () => ({entries: service.listEntries()}));
  fastify.get('/v1/upstreams', async () => ({
    upstreams: service.listUpstreams(),
  }));
  fastify.get('/v1/load-watch', async (_request, reply) =>
    orNoManifest(service.readLoadWatch(), reply),
  );
  fastify.get('/v1/time-line', async () => ({events: service.listEvents()}));
  fastify.get('/metrics', async (_request, reply) =>
    reply.type(METRICS_MEDIA_TYPE).send(service.renderMetrics()),
  );
  addSubmission(fastify, service);
}

function addSubmission(
  fastify: FastifyInstance,
  service: OperatorService,
): void {
  fastify.post('/v1/manifest', async (request, reply) => {
    const parsed = manifestSubmissionSchema.safeParse(request.body);
    if (!parsed.success) {
      const details = parsed.error.issues.map(
        ({path, message}) => `${path.join('.')}: ${message}`,
      );
      return send(reply, createProblem('bad-request', 400, details.join(' ')));
    }
    return sendAnswer(reply, await service.submitManifest(parsed.data));
  });
}

function sendAnswer(reply: FastifyReply, answer: SubmissionAnswer) {
  switch (answer.outcome) {
    case 'accepted':
      return reply.code(201).send(answer);
    case 'already-accepted':
      return reply.code(200).send(answer);
    case 'superseded': {
      const detail = `Revision ${answer.presentRevision} is in force.`;
      return send(reply, createProblem('superseded', 409, detail), answer);
    }
    case 'rejected': {
      const detail = `The manifest has ${answer.findings.length} findings.`;
      return send(reply, createProblem('rejected', 422, detail), answer);
    }
    case 'unknown':
      reply.header('retry-after', RETRY_AFTER_SECONDS);
      return send(
        reply,
        createProblem('outcome-unknown', 503, answer.message),
        answer,
      );
  }
}

function orNoManifest(content: object | undefined, reply: FastifyReply) {
  if (content !== undefined) {
    return reply.send(content);
  }
  const detail = 'No manifest is in force at this entry yet.';
  return send(reply, createProblem('no-manifest', 404, detail));
}

function send(reply: FastifyReply, problem: Problem, answer?: object) {
  const body = JSON.stringify({...answer, ...problem});
  return reply.code(problem.status).type(PROBLEM_MEDIA_TYPE).send(body);
}
