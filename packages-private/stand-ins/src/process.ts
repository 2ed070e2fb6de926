/** What the stand-ins' processes share. */

import {readFileSync} from 'node:fs';
import {DocumentSource, formatFinding} from '@wasabidyke/shared';
import {Command} from 'commander';
import type {FastifyInstance} from 'fastify';
import type {z} from 'zod';

const BAD_INPUT_STATUS = 2;

/** Reads the file that `--settings` names. Ends the process with status 2 where it is wrong. */
export function readSettings<Schema extends z.ZodType>(
  schema: Schema,
): z.infer<Schema> {
  const command = new Command().requiredOption('--settings <file>').parse();
  const {settings: file} = command.opts<{settings: string}>();
  const document = new DocumentSource(file, readFileSync(file, 'utf8'));
  const parsed = document.parse(schema);
  if (parsed.isErr()) {
    for (const finding of parsed.error) {
      console.error(formatFinding(finding));
    }
    process.exit(BAD_INPUT_STATUS);
  }
  return parsed.value;
}

/** Listens on `address`. Returns it with its actual port. */
export async function listenForControl(
  server: FastifyInstance,
  address: string,
): Promise<string> {
  const [host, port] = address.split(':');
  const url = await server.listen({host, port: Number(port)});
  return new URL(url).host;
}

/** Prints the line by which a stand-in says that it serves. */
export function printReady(detail: object): void {
  process.stdout.write(`${JSON.stringify({ready: true, ...detail})}\n`);
}
