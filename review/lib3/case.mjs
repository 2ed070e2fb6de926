/** What all scripts of these cases share: the record, the temporary folder, the exit status. */

import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';

/** Whether the disruption is caused. */
export const isTroubled = process.env.TROUBLE !== '0';

/** Lines for `record.txt`. */
export class Record {
  #lines = [];
  #startedAtMs = performance.now();

  add(...words) {
    const atMs = Math.round(performance.now() - this.#startedAtMs);
    this.#lines.push(`${String(atMs).padStart(7)} ${words.join(' ')}`);
  }

  write(file) {
    writeFileSync(file, this.#lines.join('\n') + '\n');
  }
}

/** Runs a case, which returns the sentences that tell how the rule was broken. */
export async function runCase(run) {
  const record = new Record();
  const directory = mkdtempSync(join(tmpdir(), 'review-'));
  const file = join(dirname(process.argv[1]), 'record.txt');
  let status = 2;
  try {
    const broken = await run(record, directory);
    status = broken.length > 0 ? 1 : 0;
    broken.forEach(sentence => record.add('BROKEN', sentence));
    const result = status === 1 ? 'the rule was broken' : 'the rule held';
    record.add('RESULT', result);
    console.log(
      `${result}${broken.length > 0 ? `: ${broken.length} times` : ''}`,
    );
  } catch (error) {
    record.add('RESULT', `the case could not run: ${error.stack}`);
    console.log(String(error.stack));
  }
  record.write(file);
  rmSync(directory, {recursive: true, force: true});
  process.exit(status);
}

/** A configuration of one host. @param routes Rows of `name`, `prefix`, `kind`, `service`, `timeout` and `attempts`. */
export function toConfiguration(version, routes, limits = {}) {
  const services = new Set(routes.map(({service}) => service));
  const service = {health_path: '/health', max_connections: 220};
  return {
    version: version.toString(16).padStart(8, '0'),
    routes: Object.fromEntries(
      routes.map(
        ({name, prefix, kind, service: target, timeout, attempts = 2}) => [
          name,
          {
            host: HOST,
            prefix,
            kind,
            timeout,
            target_latency: '250ms',
            priority: 1,
            service: target,
            max_attempts: attempts,
          },
        ],
      ),
    ),
    services: Object.fromEntries([...services].map(name => [name, service])),
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 67108864,
      header_timeout: '3000ms',
      idle_timeout: '15000ms',
      ...limits,
    },
  };
}

/** The host of all routes. */
export const HOST = 'jepu9.example';
