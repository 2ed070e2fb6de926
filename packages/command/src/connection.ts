/** How commands reach an entry: its address, the token and the timeout. */

import {readFile} from 'node:fs/promises';
import {OperatorClient} from '@wasabidyke/operator';
import {
  Err,
  Ok,
  SECOND_MS,
  parseSocketAddress,
  type Result,
} from '@wasabidyke/shared';
import {InvalidArgumentError, Option, type Command} from 'commander';

/** Address of the operators' interface where none is given. */
export const DEFAULT_ENTRY = '127.0.0.1:8082';

const DEFAULT_TIMEOUT_SECONDS = 10;
const MAXIMUM_TIMEOUT_SECONDS = 600;

/** Environment variable that names the entry to ask. */
export const ENTRY_VARIABLE = 'WASABIDYKE_ENTRY';

/** Environment variable that holds the bearer token. */
export const TOKEN_VARIABLE = 'WASABIDYKE_TOKEN';

/** Options of every command that asks an entry. */
export interface ConnectionOptions {
  readonly entry: string;
  readonly tokenFile?: string;
  readonly timeout: number;
}

/** Reaches entries with the token and the timeout of one run. */
export class Connection {
  readonly #token: string | undefined;
  readonly #deadlineMs: number;

  constructor(token: string | undefined, deadlineMs: number) {
    this.#token = token;
    this.#deadlineMs = deadlineMs;
  }

  /** Asks one entry, and closes the connection. */
  async use<Answer>(
    address: string,
    ask: (client: OperatorClient) => Promise<Answer>,
  ): Promise<Answer> {
    const token = this.#token;
    const deadlineMs = this.#deadlineMs;
    const client = new OperatorClient({address, token, deadlineMs});
    try {
      return await ask(client);
    } finally {
      await client.close();
    }
  }
}

/** Adds the options that every command that asks an entry has. */
export function addConnectionOptions(command: Command): Command {
  return addTokenOptions(command).addOption(
    new Option('--entry <address>', "address of an entry's operator listener")
      .argParser(parseEntry)
      .env(ENTRY_VARIABLE)
      .default(DEFAULT_ENTRY),
  );
}

/** Adds the options for the token and the timeout. */
export function addTokenOptions(command: Command): Command {
  return command
    .option(
      '--token-file <file>',
      `file that holds the bearer token (or environment variable ${TOKEN_VARIABLE})`,
    )
    .addOption(
      new Option('--timeout <seconds>', 'time for the whole answer')
        .argParser(parseTimeout)
        .default(DEFAULT_TIMEOUT_SECONDS),
    );
}

/** Reads the token and prepares to reach entries. */
export async function openConnection(
  {tokenFile, timeout}: Pick<ConnectionOptions, 'tokenFile' | 'timeout'>,
  environment: NodeJS.ProcessEnv,
): Promise<Result<Connection, string>> {
  const deadlineMs = timeout * SECOND_MS;
  if (tokenFile === undefined) {
    return Ok(new Connection(environment[TOKEN_VARIABLE], deadlineMs));
  }
  try {
    const token = (await readFile(tokenFile, 'utf8')).trim();
    return Ok(new Connection(token, deadlineMs));
  } catch (error) {
    const cause = error instanceof Error ? error.message : String(error);
    return Err(`Cannot read the token: ${cause}`);
  }
}

/** Parses the address of an entry. */
export function parseEntry(text: string): string {
  if (parseSocketAddress(text) === undefined) {
    const message = 'Give an IP address and a port, such as 127.0.0.1:8082.';
    throw new InvalidArgumentError(message);
  }
  return text;
}

function parseTimeout(text: string): number {
  const seconds = Number(text);
  if (!(seconds > 0 && seconds <= MAXIMUM_TIMEOUT_SECONDS)) {
    const message = `Give seconds, more than 0 and at most ${MAXIMUM_TIMEOUT_SECONDS}.`;
    throw new InvalidArgumentError(message);
  }
  return seconds;
}
