/** Answers that no sound server gives: other JSON than expected, nearly right JSON, and no JSON at all. */

import fc from 'fast-check';

/** An HTTP answer. */
export interface NonsenseAnswer {
  readonly status: number;
  readonly body: string;
}

const numberText = fc.oneof(
  fc.bigInt().map(String),
  fc.string({maxLength: 8}),
  fc.integer(),
  fc.constant('99999999999999999999'),
);

const keyValue = fc.record(
  {
    key: fc.oneof(fc.base64String(), fc.string()),
    value: fc.oneof(fc.base64String(), fc.string(), fc.integer()),
    mod_revision: numberText,
  },
  {requiredKeys: []},
);

const nearlyRight = fc.record(
  {
    header: fc.record({revision: numberText}, {requiredKeys: []}),
    kvs: fc.oneof(fc.array(keyValue, {maxLength: 3}), fc.jsonValue()),
    succeeded: fc.oneof(fc.boolean(), fc.jsonValue()),
    responses: fc.oneof(
      fc.array(
        fc.record({response_range: fc.record({kvs: fc.array(keyValue)})}),
        {maxLength: 2},
      ),
      fc.jsonValue(),
    ),
    ID: numberText,
    TTL: numberText,
    result: fc.record(
      {
        ID: numberText,
        TTL: numberText,
        created: fc.oneof(fc.boolean(), fc.jsonValue()),
        canceled: fc.oneof(fc.boolean(), fc.jsonValue()),
        events: fc.oneof(
          fc.array(fc.record({kv: keyValue}), {maxLength: 2}),
          fc.jsonValue(),
        ),
      },
      {requiredKeys: []},
    ),
    code: fc.oneof(fc.integer(), fc.jsonValue()),
    message: fc.oneof(fc.string(), fc.jsonValue()),
  },
  {requiredKeys: []},
);

const nonsense: fc.Arbitrary<NonsenseAnswer> = fc.record({
  status: fc.constantFrom(200, 200, 200, 400, 404, 429, 500, 503),
  body: fc.oneof(
    {weight: 3, arbitrary: nearlyRight.map(value => JSON.stringify(value))},
    fc.json(),
    fc.string(),
    fc.constantFrom('', '\n\n', '['.repeat(100_000), '{"result":'),
  ),
});

/** The first `count` nonsense answers of a seed. */
export function sampleNonsense(
  count: number,
  seed: number,
): readonly NonsenseAnswer[] {
  return fc.sample(nonsense, {numRuns: count, seed});
}
