/** Configurations whose client accounts can't be read. */

import type {WrittenConfiguration} from './account-tables.js';

/** A key that must show in no log line and no error. */
export const KEY = 'secret-4be1c07d92';

/** Faults by which a configuration can't be read. */
export const FAULTS: Readonly<
  Record<string, (written: WrittenConfiguration) => void>
> = {
  'keys that are a text': written => {
    written.tenants = {alpha: {api_keys: KEY}};
  },
  'keys that are an object': written => {
    written.tenants = {alpha: {api_keys: {[KEY]: true}}};
  },
  'a key that is an object': written => {
    written.tenants = {alpha: {api_keys: [{key: KEY}]}};
  },
  'accounts in a list': written => {
    written.tenants = [{name: 'alpha', api_keys: [KEY]}];
  },
  'an account that is its key': written => {
    written.tenants = {alpha: KEY};
  },
  'an account that is a list of keys': written => {
    written.tenants = {alpha: [KEY]};
  },
  'a quota that is a key': written => {
    written.tenants = {alpha: {api_keys: [KEY], rate_per_s: KEY}};
  },
  'a quota beyond all numbers': written => {
    written.tenants = {alpha: {api_keys: [KEY], rate_per_s: 'HUGE'}};
  },
  'a version that is a key': written => {
    written.version = KEY;
  },
  'its second half missing': () => {},
};
