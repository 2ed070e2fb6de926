/** Steps that feed decoders with generated odd values. */

import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import type {BalancerSite} from '../support/balancer-site.js';
import {assertUsable, DECODERS} from '../support/decoders.js';
import {toEntryRecord, toWorkerRecord} from '@wasabidyke/soak';
import {drawOddTexts, type Json} from '../support/odd-values.js';

interface GeneratedWorld {
  balancerSite: BalancerSite;
  failures: string[];
  taken: Array<{text: string; value: unknown}>;
}

const SEED = 7;

/** Length of a text in a failure, in characters. */
const SHOWN_LENGTH = 300;

/** What others write to the store, by prefix of the key. */
const RECORDS: Readonly<Record<string, Json>> = {
  'servers/': toWorkerRecord() as Json,
  'entries/': toEntryRecord('odd') as Json,
  'suspects/f1/': DECODERS["suspect's record"].sound,
};

When(
  /^(\d+) odd variants of the (.+) are decoded$/,
  {timeout: 60_000},
  function (this: GeneratedWorld, count: string, name: string) {
    const {sound, decode} = DECODERS[name];
    this.failures = [];
    this.taken = [];
    const texts = drawOddTexts(sound, Number(count), SEED);
    for (const text of [JSON.stringify(sound), ...texts]) {
      try {
        const value = decode(text);
        if (value !== undefined) {
          this.taken.push({text, value});
        }
      } catch (error) {
        this.failures.push(`${String(error)}: ${text.slice(0, SHOWN_LENGTH)}`);
      }
    }
  },
);

Then('none of them fails', function (this: GeneratedWorld) {
  assert.deepEqual(this.failures, []);
});

Then('what is taken can be used', function (this: GeneratedWorld) {
  assert.ok(this.taken.length > 0, 'the sound value is refused');
  for (const {text, value} of this.taken) {
    try {
      assertUsable(value);
    } catch (error) {
      assert.fail(`${String(error)}: ${text.slice(0, SHOWN_LENGTH)}`);
    }
  }
});

When(
  '{int} odd variants of records are written to the store',
  function (this: GeneratedWorld, count: number) {
    const prefixes = Object.entries(RECORDS);
    for (const [prefix, sound] of prefixes) {
      const texts = drawOddTexts(sound, count / prefixes.length, SEED);
      texts.forEach((text, index) => {
        const name = prefix === 'entries/' ? 'odd' : `odd-${index}`;
        this.balancerSite.store.set(prefix + name, text);
      });
    }
  },
);
