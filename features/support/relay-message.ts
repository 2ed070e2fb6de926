/** Messages by which one entry has another one send a request. */

import {request as sendRequest} from 'node:http';

/** What another entry answered to a message. */
export interface RelayAnswer {
  readonly status: number;
  readonly result: unknown;
  readonly reason: unknown;
}

/** The parts of a message that tests change. */
export interface RelayMessage {
  /** Path and query. */
  readonly url: string;
  readonly service: string;
  readonly allowedRegions?: readonly string[];
}

/** Sends a message with a look-up to an entry from a loopback address. */
export function sendRelay(
  port: number,
  from: string,
  message: RelayMessage,
): Promise<RelayAnswer> {
  const line = {
    method: 'GET',
    headers: {host: 'shop.example'},
    hasBody: false,
    callerAddress: from,
    kind: 'idempotent',
    elapsedMs: 0,
    remainingMs: 1_000,
    excluded: [],
    ...message,
  };
  return new Promise((resolve, reject) => {
    const request = sendRequest(
      {
        host: '127.0.0.1',
        port,
        localAddress: from,
        path: '/v1/relay',
        method: 'POST',
        agent: false,
      },
      response => {
        const {headers, statusCode = 0} = response;
        response.resume();
        resolve({
          status: statusCode,
          result: headers['relay-result'],
          reason: headers['relay-reason'],
        });
      },
    );
    request.on('error', reject);
    request.end(`${JSON.stringify(line)}\n`);
  });
}
