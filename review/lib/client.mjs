/** Stand-in of a client: sends requests over HTTP/1.1 and tells how each ended. */

import {Agent, request as sendRequest} from 'node:http';
import {HOST} from './site.mjs';

let sent = 0;

/** A client with one connection, which it keeps. */
export class Client {
  #entry;
  #agent = new Agent({keepAlive: true, maxSockets: 1});

  constructor(entry) {
    this.#entry = entry;
  }

  close() {
    this.#agent.destroy();
  }

  /** Sends a request. Resolves with its end; never rejects. */
  send(path, {method = 'GET', body = '', deadlineMs = 2_000, onData} = {}) {
    sent += 1;
    const call = {id: `r${sent}`, path, method, sentAtMs: Date.now()};
    call.entry = this.#entry.name;
    return new Promise(resolve => {
      const end = fields => {
        clearTimeout(timer);
        resolve(Object.assign(call, {endedAtMs: Date.now()}, fields));
      };
      const request = sendRequest({
        host: '127.0.0.1',
        port: this.#entry.front,
        path,
        method,
        agent: this.#agent,
        headers: {
          host: HOST,
          'wasabidyke-attempt-id': call.id,
          'wasabidyke-request-deadline-ms': String(deadlineMs),
          ...(body === '' ? {} : {'content-length': Buffer.byteLength(body)}),
        },
      });
      const timer = setTimeout(() => request.destroy(), deadlineMs);
      request.on('error', error => end({error: error.code ?? error.message}));
      request.on('response', response => {
        const {statusCode: status, headers} = response;
        const bytesDue = Number(headers['content-length'] ?? 0);
        const seal = headers['wasabidyke-server-seal'];
        Object.assign(call, {status, seal, bytesDue, bytes: 0});
        response.on('data', chunk => {
          call.bytes += chunk.length;
          onData?.(response);
        });
        response.on('error', error => end({error: error.code}));
        response.on('end', () => end({isWhole: response.complete}));
      });
      request.end(body);
    });
  }
}

/** One line on how a request ended. */
export function toLine(call) {
  const {id, method, path, entry, status, error, seal} = call;
  const end = error ?? `${status}${seal ? ` of ${seal}` : ''}`;
  const tookMs = call.endedAtMs - call.sentAtMs;
  return `${id} ${method} ${path} at ${entry}: ${end} after ${tookMs} ms`;
}
