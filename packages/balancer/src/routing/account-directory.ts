/** Client accounts of one configuration version, indexed by name and by key. */

import {Err, Ok, type Result} from '@wasabidyke/shared';
import {findAccountProblem} from './account-check.js';
import type {ClientAccount} from './routing-configuration.js';

/** Maximum number of revoked keys that are remembered, so that a refusal can name the account. Source: at 1 kB each, they take 1 MB. */
const MAXIMUM_REVOKED_KEYS = 1_000;

/** Characters that headers carry as one byte each, whatever the encoding. */
const ASCII_PATTERN = /^[\0-\x7f]*$/;

/**
 * Finds accounts. Keys are compared by a lookup in a hash table: its hash has
 * a seed of the process, so that the time of a lookup tells nothing of how
 * much of a key is right.
 */
export class AccountDirectory {
  readonly #accounts: readonly ClientAccount[];
  readonly #byName: ReadonlyMap<string, ClientAccount>;
  readonly #byKey: ReadonlyMap<string, ClientAccount>;
  /** Names of the accounts that revoked keys belonged to; the oldest first. */
  readonly #revoked: ReadonlyMap<string, string>;

  private constructor(
    accounts: readonly ClientAccount[],
    byName: ReadonlyMap<string, ClientAccount>,
    byKey: ReadonlyMap<string, ClientAccount>,
    revoked: ReadonlyMap<string, string>,
  ) {
    this.#accounts = accounts;
    this.#byName = byName;
    this.#byKey = byKey;
    this.#revoked = revoked;
  }

  /**
   * Indexes the accounts of a configuration; the error says which account is wrong, without its keys.
   * @param former The directory that this one replaces. Accounts that are the same objects aren't checked and indexed again.
   */
  static create(
    accounts: readonly ClientAccount[],
    former = EMPTY,
  ): Result<AccountDirectory, string> {
    if (accounts === former.#accounts) {
      return Ok(former);
    }
    const byName = new Map<string, ClientAccount>();
    const added: ClientAccount[] = [];
    for (const account of accounts) {
      const {name} = account;
      if (byName.has(name)) {
        return Err(`two accounts are named ${JSON.stringify(name)}`);
      }
      byName.set(name, account);
      if (former.#byName.get(name) !== account) {
        added.push(account);
      }
    }
    const byKey = new Map(former.#byKey);
    const removedKeys = former.#removeKeys(byKey, byName);
    for (const account of added) {
      const problem = findAccountProblem(account) ?? addKeys(byKey, account);
      if (problem !== undefined) {
        return Err(problem);
      }
    }
    const revoked = former.#listRevoked(removedKeys, byKey);
    return Ok(new AccountDirectory(accounts, byName, byKey, revoked));
  }

  /** Number of accounts. */
  get size(): number {
    return this.#byName.size;
  }

  /** Finds an account by its name. */
  findByName(name: string): ClientAccount | undefined {
    return this.#byName.get(name);
  }

  /** Finds the account that holds a key. @param key As a header carries it. */
  findByKey(key: string): ClientAccount | undefined {
    return this.#byKey.get(key);
  }

  /** Finds the name of the account that held a key until it was revoked; undefined for other keys, and for those revoked long ago. */
  findRevoked(key: string): string | undefined {
    return this.#revoked.get(key);
  }

  /** Removes the keys of accounts that are gone or changed; returns them with the names of these accounts. */
  #removeKeys(
    byKey: Map<string, ClientAccount>,
    byName: ReadonlyMap<string, ClientAccount>,
  ): ReadonlyMap<string, string> {
    const removed = new Map<string, string>();
    for (const account of this.#accounts) {
      const {name, keys} = account;
      if (byName.get(name) !== account) {
        for (const key of keys) {
          for (const value of toHeaderValues(key)) {
            byKey.delete(value);
            removed.set(value, name);
          }
        }
      }
    }
    return removed;
  }

  #listRevoked(
    removed: ReadonlyMap<string, string>,
    byKey: ReadonlyMap<string, ClientAccount>,
  ): ReadonlyMap<string, string> {
    const revoked = [...this.#revoked, ...removed].filter(
      ([key]) => !byKey.has(key),
    );
    return new Map(revoked.slice(-MAXIMUM_REVOKED_KEYS));
  }

  /** Returns the directory without accounts. */
  static createEmpty(): AccountDirectory {
    return new AccountDirectory([], new Map(), new Map(), new Map());
  }
}

/** The directory of a deployment without accounts. */
const EMPTY = AccountDirectory.createEmpty();

/** Adds the keys of an account; returns a problem if one of them belongs to another account. */
function addKeys(
  byKey: Map<string, ClientAccount>,
  account: ClientAccount,
): string | undefined {
  for (const key of account.keys) {
    for (const value of toHeaderValues(key)) {
      const holder = byKey.get(value);
      if (holder !== undefined && holder !== account) {
        const names = [holder.name, account.name].map(name =>
          JSON.stringify(name),
        );
        return `accounts ${names.join(' and ')} have the same key`;
      }
      byKey.set(value, account);
    }
  }
  return undefined;
}

/** Returns a key as HTTP headers may carry it: Node reads each byte as one character, and clients send characters beyond ASCII as UTF-8 or as Latin-1. */
function toHeaderValues(key: string): readonly string[] {
  return ASCII_PATTERN.test(key)
    ? [key]
    : [key, Buffer.from(key, 'utf8').toString('latin1')];
}
