/** Reads an entry's settings, with all of their findings at once. */

import {readFile} from 'node:fs/promises';
import {dirname, resolve} from 'node:path';
import {
  DocumentSource,
  Err,
  Ok,
  type Finding,
  type Result,
} from '@wasabidyke/shared';
import {SettingsCheck} from './settings-check.js';
import {settingsSchema, type Settings} from './settings.js';

/** Shortest bearer token, in characters. */
const MINIMUM_TOKEN_LENGTH = 16;

/**
 * Parses and checks settings.
 * @param source Name of the input, used in places.
 * @returns The settings, or every finding with its line, column and path.
 */
export function parseSettings(
  source: string,
  text: string,
): Result<Settings, readonly Finding[]> {
  return new DocumentSource(source, text).parse(
    settingsSchema,
    (draft, document, findings) =>
      new SettingsCheck(draft, document, findings).run(),
  );
}

/** Reads a settings file; file names in the result are absolute. */
export async function readSettings(
  file: string,
): Promise<Result<Settings, readonly Finding[]>> {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch (error) {
    return Err([createReadFinding(file, error)]);
  }
  const parsed = parseSettings(file, text);
  return parsed.map(settings => resolveFiles(settings, dirname(file)));
}

/**
 * Reads the bearer token of operators from where the settings say.
 * @returns undefined where no token is set.
 */
export async function readToken(
  settings: Settings,
  environment: NodeJS.ProcessEnv,
): Promise<Result<string | undefined, readonly Finding[]>> {
  const {token: source} = settings.operators;
  if (source === undefined) {
    return Ok(undefined);
  }
  const {file, environment: variable} = source;
  let token: string;
  try {
    token = file
      ? await readFile(file, 'utf8')
      : (environment[variable ?? ''] ?? '');
  } catch (error) {
    return Err([createReadFinding(file ?? '', error)]);
  }
  const trimmed = token.trim();
  if (trimmed.length >= MINIMUM_TOKEN_LENGTH) {
    return Ok(trimmed);
  }
  const message = `The operators' token needs at least ${MINIMUM_TOKEN_LENGTH} characters; it has ${trimmed.length}.`;
  return Err([
    createFinding('token-too-short', file ?? `$${variable}`, message),
  ]);
}

function resolveFiles(settings: Settings, directory: string): Settings {
  const {operators, platform} = settings;
  const file = operators.token?.file;
  return {
    ...settings,
    operators: {
      ...operators,
      token: file ? {file: resolve(directory, file)} : operators.token,
    },
    platform:
      platform.kind === 'embedded'
        ? {...platform, manifestFile: resolve(directory, platform.manifestFile)}
        : platform,
  };
}

function createReadFinding(file: string, error: unknown): Finding {
  const cause = error instanceof Error ? error.message : String(error);
  return createFinding('unreadable-file', file, `Cannot be read: ${cause}.`);
}

function createFinding(code: string, source: string, message: string): Finding {
  return {code, message, place: {source, line: 1, column: 1, path: ''}};
}
