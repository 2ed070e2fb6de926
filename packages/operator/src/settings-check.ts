/** Checks between the settings of an entry, which a schema cannot express. */

import {
  isLoopbackHost,
  parseSocketAddress,
  type DocumentPath,
  type DocumentSource,
  type Draft,
  type FindingCollector,
} from '@wasabidyke/shared';
import type {Settings} from './settings.js';

/** Hosts that mean every address of a machine. */
const WILDCARD_HOSTS: ReadonlySet<string> = new Set(['0.0.0.0', '::']);

interface Listener {
  readonly address: string;
  readonly path: DocumentPath;
}

/** Checks between the settings of an entry. */
export class SettingsCheck {
  readonly #settings: Draft<Settings>;
  readonly #document: DocumentSource;
  readonly #findings: FindingCollector;

  constructor(
    settings: Draft<Settings>,
    document: DocumentSource,
    findings: FindingCollector,
  ) {
    this.#settings = settings;
    this.#document = document;
    this.#findings = findings;
  }

  /** Runs every check. */
  run(): void {
    this.#checkListeners();
    this.#checkToken();
    this.#checkPlatform();
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
    const operators = this.#settings.operators ?? {};
    const {address, token} = operators;
    const isOpen = address !== undefined && !isLoopbackHost(toHost(address));
    if (isOpen && !('token' in operators)) {
      const message = `${address} is not loopback; set "token" to guard it.`;
      this.#add('token-required', ['operators', 'address'], message);
    }
    if (token && 'file' in token === 'environment' in token) {
      const message = 'Set either "file" or "environment".';
      this.#add('token-source', ['operators', 'token'], message);
    }
  }

  #checkPlatform(): void {
    const {platform} = this.#settings;
    if (platform?.kind !== 'etcd') {
      return;
    }
    if (!('peers' in this.#settings)) {
      const message =
        'Set "peers": entries on a platform listen for each other.';
      this.#add('peers-required', [], message);
    }
    const endpoints = platform.endpoints ?? [];
    for (const [index, endpoint] of endpoints.entries()) {
      if (endpoint !== undefined && endpoints.indexOf(endpoint) < index) {
        const path = ['platform', 'endpoints', index];
        const message = `${endpoint} stands twice; remove one.`;
        this.#add('duplicate-endpoint', path, message);
      }
    }
  }
}

function listListeners(settings: Draft<Settings>): readonly Listener[] {
  return (['callers', 'peers', 'operators'] as const).flatMap(name => {
    const address = settings[name]?.address;
    return address === undefined ? [] : [{address, path: [name, 'address']}];
  });
}

function toHost(address: string): string {
  return parseSocketAddress(address)?.host ?? '';
}
