/** Reads an entry's settings, with all of their findings at once. */

import {readFile} from 'node:fs/promises';
import {dirname, resolve} from 'node:path';
import {
  DocumentSource,
  Err,
  FindingCollector,
  Ok,
  type DocumentPath,
  type Finding,
  type Result,
} from '@wasabidyke/shared';
import {isLoopbackHost, parseSocketAddress} from './address.js';
import {settingsSchema, type Settings} from './settings.js';

/** Hosts that mean every address of a machine. */
const WILDCARD_HOSTS: ReadonlySet<string> = new Set(['0.0.0.0', '::']);

/** Shortest bearer token, in characters. */
const MINIMUM_TOKEN_LENGTH = 16;

interface Listener {
  readonly address: string;
  readonly path: DocumentPath;
}

/**
 * Parses and checks settings.
 * @param source Name of the input, used in places.
 * @returns The settings, or every finding with its line, column and path.
 */
export function parseSettings(
  source: string,
  text: string,
): Result<Settings, readonly Finding[]> {
  const document = new DocumentSource(source, text);
  const parsed = document.parse(settingsSchema);
  if (parsed.isErr()) {
    return parsed;
  }
  const findings = new SettingsCheck(parsed.value, document).run();
  return findings.length > 0 ? Err(findings) : parsed;
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

class SettingsCheck {
  readonly #settings: Settings;
  readonly #document: DocumentSource;
  readonly #findings = new FindingCollector();

  constructor(settings: Settings, document: DocumentSource) {
    this.#settings = settings;
    this.#document = document;
  }

  run(): readonly Finding[] {
    this.#checkListeners();
    this.#checkToken();
    this.#checkPlatform();
    return this.#findings.toSorted();
  }

  #add(code: string, path: DocumentPath, message: string): void {
    const place = this.#document.toPlace(path);
    this.#findings.add({code, message, place});
  }

  #checkListeners(): void {
    const seen = new Set<string>();
    for (const {address, path} of listListeners(this.#settings)) {
      if (seen.has(address)) {
        const message = `${address} stands twice; give each listener its own.`;
        this.#add('duplicate-address', path, message);
      }
      seen.add(address);
      if (WILDCARD_HOSTS.has(toHost(address))) {
        const message = `${address} is no address that others can reach; name one of the VM's own.`;
        this.#add('wildcard-address', path, message);
      }
    }
  }

  #checkToken(): void {
    const {address, token} = this.#settings.operators;
    if (token === undefined && !isLoopbackHost(toHost(address))) {
      const message = `${address} is not loopback; set "token" to guard it.`;
      this.#add('token-required', ['operators', 'address'], message);
    }
    if (
      token &&
      (token.file === undefined) === (token.environment === undefined)
    ) {
      const message = 'Set either "file" or "environment".';
      this.#add('token-source', ['operators', 'token'], message);
    }
  }

  #checkPlatform(): void {
    const {peers, platform} = this.#settings;
    if (platform.kind === 'embedded') {
      return;
    }
    if (peers === undefined) {
      const message =
        'Set "peers": entries on a platform listen for each other.';
      this.#add('peers-required', [], message);
    }
    for (const [index, endpoint] of platform.endpoints.entries()) {
      if (platform.endpoints.indexOf(endpoint) < index) {
        const path = ['platform', 'endpoints', index];
        const message = `${endpoint} stands twice; remove one.`;
        this.#add('duplicate-endpoint', path, message);
      }
    }
  }
}

function listListeners({callers, peers, operators}: Settings): Listener[] {
  const listeners = [{...callers, path: ['callers', 'address']}];
  if (peers !== undefined) {
    listeners.push({...peers, path: ['peers', 'address']});
  }
  const {address} = operators;
  return [...listeners, {address, path: ['operators', 'address']}];
}

function toHost(address: string): string {
  return parseSocketAddress(address)?.host ?? '';
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
