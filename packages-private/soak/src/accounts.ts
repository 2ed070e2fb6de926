/** Client accounts of a run: their keys, and when keys came and went. */

import type {Quota} from '@wasabidyke/policy';
import {nowMs, type History} from './history.js';

/** A key of an account, from when it was written until it was revoked. */
export interface KeyRecord {
  readonly key: string;
  readonly account: string;
  readonly fromMs: number;
  /** Undefined while configurations hold it. */
  revokedAtMs?: number;
}

/** Accounts whose keys stay as they are; callers share them. */
const STEADY_ACCOUNTS = ['alpha', 'beta', 'gamma'];

/** Account that sends more than its quota now and then. */
export const SURGING_ACCOUNT = 'omega';
export const SURGING_KEY = `key-of-${SURGING_ACCOUNT}`;
export const SURGING_QUOTA: Quota = {requestsPerSecond: 8, burst: 8};

/** Account whose key changes with each second configuration. */
const CHANGING_ACCOUNT = 'delta';
const CONFIGURATIONS_PER_KEY = 2;

/** Draws the accounts of configurations, and notes their keys. */
export class Accounts {
  readonly #history: History;
  #configurations = 0;

  constructor(history: History) {
    this.#history = history;
    const fromMs = nowMs();
    for (const account of [...STEADY_ACCOUNTS, SURGING_ACCOUNT]) {
      history.keys.push({key: `key-of-${account}`, account, fromMs});
    }
  }

  /** Creates the accounts of the next configuration, as operators write them. */
  createNext(): object {
    const {keys} = this.#history;
    if (this.#configurations % CONFIGURATIONS_PER_KEY === 0) {
      const key = `key-of-${CHANGING_ACCOUNT}-${this.#configurations}`;
      const atMs = nowMs();
      for (const former of keys) {
        if (former.account === CHANGING_ACCOUNT) {
          former.revokedAtMs ??= atMs;
        }
      }
      keys.push({key, account: CHANGING_ACCOUNT, fromMs: atMs});
    }
    this.#configurations += 1;
    const {requestsPerSecond: rate_per_s, burst} = SURGING_QUOTA;
    const names = [...STEADY_ACCOUNTS, SURGING_ACCOUNT, CHANGING_ACCOUNT];
    return Object.fromEntries(
      names.map(name => [
        name,
        {
          api_keys: keys
            .filter(
              ({account, revokedAtMs}) =>
                account === name && revokedAtMs === undefined,
            )
            .map(({key}) => key),
          ...(name === SURGING_ACCOUNT ? {rate_per_s, burst} : {}),
        },
      ]),
    );
  }
}

/** Chooses the key of a request. */
export type KeyChoice = (random: {
  nextBelow(bound: number): number;
}) => KeyRecord | undefined;

/** Chooses the key of a steady account by the number of the caller; none if the run has no accounts. */
export function chooseSteadyKey({keys}: History, caller: number): KeyChoice {
  const account = STEADY_ACCOUNTS[caller % STEADY_ACCOUNTS.length];
  return () => keys.find(other => other.account === account);
}

/** Chooses one of the keys that the changing account has or had, the newest of them for half of the requests. */
export function chooseChangingKey({keys}: History): KeyChoice {
  return random => {
    const own = keys.filter(({account}) => account === CHANGING_ACCOUNT);
    return random.nextBelow(2) === 0
      ? own.at(-1)
      : own[random.nextBelow(Math.max(1, own.length))];
  };
}

/** Header fields that carry a key. */
export function toKeyFields(key: string | undefined): Record<string, string> {
  return key === undefined ? {} : {'wasabidyke-key': key};
}
