/** Sends an entry messages that are well-formed protobuf of random content, or no protobuf at all. */

import {connect, type ClientHttp2Session} from 'node:http2';
import {once} from 'node:events';
import {BinaryWriter, WireType} from '@bufbuild/protobuf/wire';
import fc from 'fast-check';

const PROCEDURES = ['Exchange', 'Push', 'FetchManifest', 'HandOver'];
const AT_ONCE = 16;

type Field =
  | {readonly kind: 'varint'; readonly number: number; readonly value: bigint}
  | {readonly kind: 'fixed'; readonly number: number; readonly value: bigint}
  | {readonly kind: 'text'; readonly number: number; readonly value: string}
  | {
      readonly kind: 'message';
      readonly number: number;
      readonly value: readonly Field[];
    };

const number = fc.integer({min: 1, max: 12});
const wide = fc.bigInt({min: 0n, max: (1n << 64n) - 1n});
const text = fc.oneof(
  fc.string({maxLength: 300}),
  fc.constantFrom(
    'entry-002',
    '0123456789abcdef',
    'north',
    '127.0.0.1:9',
    '127.0.0.1:99999',
    '999.1.1.1:80',
  ),
);

const {fields} = fc.letrec<{fields: Field[]}>(tie => ({
  fields: fc.array(
    fc.oneof(
      {maxDepth: 4},
      fc.record({kind: fc.constant('varint' as const), number, value: wide}),
      fc.record({kind: fc.constant('fixed' as const), number, value: wide}),
      fc.record({kind: fc.constant('text' as const), number, value: text}),
      fc.record({
        kind: fc.constant('message' as const),
        number,
        value: tie('fields'),
      }),
    ),
    {maxLength: 8},
  ),
}));

const sender: Field = {
  kind: 'message',
  number: 1,
  value: [
    {kind: 'text', number: 1, value: 'stranger'},
    {kind: 'text', number: 2, value: '0123456789abcdef'},
    {kind: 'text', number: 3, value: 'north'},
  ],
};

const body = fc.oneof(
  {weight: 1, arbitrary: fc.uint8Array({maxLength: 200})},
  {weight: 6, arbitrary: fields.map(drawn => encode([...drawn, sender]))},
);

function encode(drawn: readonly Field[]): Uint8Array {
  const writer = new BinaryWriter();
  for (const field of drawn) {
    switch (field.kind) {
      case 'varint':
        writer.tag(field.number, WireType.Varint).uint64(field.value);
        break;
      case 'fixed':
        writer.tag(field.number, WireType.Bit64).fixed64(field.value);
        break;
      case 'text':
        writer.tag(field.number, WireType.LengthDelimited).string(field.value);
        break;
      case 'message':
        writer
          .tag(field.number, WireType.LengthDelimited)
          .bytes(encode(field.value));
        break;
    }
  }
  return writer.finish();
}

/** Sends random messages. Resolves when each was answered in some way. */
export async function sendRandomMessages(
  address: string,
  count: number,
  seed: number,
): Promise<void> {
  const session = connect(`http://${address}`);
  await once(session, 'connect');
  const message = fc.tuple(fc.constantFrom(...PROCEDURES), body);
  const messages = fc.sample(message, {numRuns: count, seed});
  for (let start = 0; start < count; start += AT_ONCE) {
    const part = messages.slice(start, start + AT_ONCE);
    await Promise.all(part.map(([name, bytes]) => send(session, name, bytes)));
  }
  session.close();
}

async function send(
  session: ClientHttp2Session,
  procedure: string,
  bytes: Uint8Array,
): Promise<void> {
  const stream = session.request({
    ':method': 'POST',
    ':path': `/wasabidyke.peer.v1.PeerService/${procedure}`,
    'content-type': 'application/proto',
    'connect-protocol-version': '1',
  });
  stream.on('data', () => undefined);
  stream.end(bytes);
  await once(stream, 'close');
}
