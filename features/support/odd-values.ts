/** Variants of sound values in which something is odd, drawn from a seed. */

import fc from 'fast-check';

/** A value that JSON can hold. */
export type Json =
  null | boolean | number | string | Json[] | {[name: string]: Json};

/** Replaced by a number in the text, which JSON.stringify can't write. */
const NUMBER_TEXT = '@number@';

/** Numbers as they may stand in a text, and that no program holds. */
const NUMBER_TEXTS = ['1e999', '-1e999', '9'.repeat(1_000), '1e308', '-0'];

const number = fc.oneof(
  fc.integer(),
  fc.double({noNaN: true, noDefaultInfinity: true}),
  fc.constantFrom(
    0,
    -1,
    0.5,
    65_535,
    65_536,
    99_999,
    2 ** 31,
    2 ** 32,
    2 ** 48 + 1,
    Number.MAX_SAFE_INTEGER,
    1e308,
  ),
  fc.constant(NUMBER_TEXT),
);

const address = fc
  .tuple(
    fc.oneof(
      fc.ipV4(),
      fc.ipV6().map(text => `[${text}]`),
      fc.constantFrom('999.1.1.1', '0.0.0.0', '1.2.3', 'host', '', '[::1'),
    ),
    fc.oneof(
      fc.integer({min: -1, max: 100_000}).map(String),
      fc.constantFrom('http', '', '080', '1e3', '65536'),
    ),
  )
  .map(([host, port]) => `${host}:${port}`);

const duration = fc
  .tuple(fc.oneof(number, fc.constant('9'.repeat(400))), fc.string())
  .chain(([amount, unit]) =>
    fc.constantFrom(`${amount}ms`, `${amount}s`, `${amount}${unit}`),
  );

const oddValue = fc.oneof(
  number,
  address,
  duration,
  fc.string({unit: 'binary'}),
  fc.constantFrom('__proto__', 'constructor', '', '\u0000', 'x'.repeat(70_000)),
  fc.constantFrom(null, true, [], {}),
  fc.jsonValue() as fc.Arbitrary<Json>,
);

/** A step into a value: which of its parts, and what is done there. */
const step = fc.record({
  picks: fc.array(fc.nat(), {minLength: 1, maxLength: 4}),
  value: oddValue as fc.Arbitrary<Json>,
  isRemoved: fc.boolean(),
});

/** Draws texts in which something differs from a sound value; some are no JSON. */
export function drawOddTexts(
  sound: Json,
  count: number,
  seed: number,
): readonly string[] {
  const variant = fc
    .tuple(
      fc.array(step, {minLength: 1, maxLength: 3}),
      fc.constantFrom(...NUMBER_TEXTS),
    )
    .map(([steps, text]) => {
      const odd = structuredClone({value: sound}) as {value: Json};
      steps.forEach(({picks, value, isRemoved}) =>
        change(odd, picks, isRemoved ? undefined : value),
      );
      const written = JSON.stringify(odd.value) ?? '';
      return written.replaceAll(`"${NUMBER_TEXT}"`, text);
    });
  const text = fc.oneof(
    {weight: 12, arbitrary: variant},
    {weight: 1, arbitrary: fc.string({unit: 'binary'})},
    {weight: 1, arbitrary: fc.json()},
    {
      weight: 1,
      arbitrary: fc.constantFrom(
        '',
        'null',
        '['.repeat(100_000),
        '{"a":'.repeat(50_000),
        '"'.repeat(9),
      ),
    },
  );
  return fc.sample(text, {numRuns: count, seed});
}

/** Changes or removes one part of a value. */
function change(
  holder: {value: Json},
  picks: readonly number[],
  value: Json | undefined,
): void {
  let parent: Record<string, Json> = holder;
  let key = 'value';
  for (const pick of picks) {
    const child = parent[key];
    if (child === null || typeof child !== 'object') {
      break;
    }
    const keys = Object.keys(child);
    if (keys.length === 0) {
      break;
    }
    parent = child as Record<string, Json>;
    key = keys[pick % keys.length];
  }
  if (value === undefined) {
    delete parent[key];
  } else {
    parent[key] = value;
  }
}
