/** Records that another writer may leave in the store, by what is odd in them. */

/** Changes a sound record; a text is written as it is. */
type Oddity = (record: Readonly<Record<string, unknown>>) => object | string;

const DIGITS = 100_000;
const MANY_DIGITS = 400;
const MEGABYTE = 1_000_000;

/** A sound record of a worker that nobody runs. */
export function toWorkerRecord(): Record<string, unknown> {
  return {
    address: '127.0.0.1:9',
    born: 1,
    info: {service: 'shop', version: 'v1', zone: 'home-a', slots: 4},
    status: {state: 'ready', seq: 1, warmup_left: '0ms'},
  };
}

/** A sound record of an entry that nobody runs. */
export function toEntryRecord(name: string): Record<string, unknown> {
  const address = '127.0.0.1:9';
  return {name, address, feedAddress: address, region: 'home', zone: 'home-a'};
}

function nested(open: string, close: string, depth: number): string {
  return `${open.repeat(depth)}1${close.repeat(depth)}`;
}

function withAddress(address: string): Oddity {
  return record => ({...record, address});
}

function withInfo(change: object): Oddity {
  return record => ({...record, info: {...Object(record.info), ...change}});
}

function withStatus(change: object): Oddity {
  return record => ({
    ...record,
    status: {...Object(record.status), ...change},
  });
}

/** Replaces the sequence in the text, for numbers that can't be held. */
function withSequenceText(text: string): Oddity {
  return record => JSON.stringify(record).replace('"seq":1', `"seq":${text}`);
}

/** Odd records of a worker. */
export const ODD_WORKER_RECORDS: Readonly<Record<string, Oddity>> = {
  'port 99999': withAddress('127.0.0.1:99999'),
  'port 65536': withAddress('127.0.0.1:65536'),
  'port 0': withAddress('127.0.0.1:0'),
  'no port': withAddress('127.0.0.1'),
  'a name as port': withAddress('127.0.0.1:http'),
  'address 999.1.1.1': withAddress('999.1.1.1:80'),
  'address 0.0.0.0': withAddress('0.0.0.0:80'),
  'an array 200000 deep': () => nested('[', ']', 200_000),
  'an object 100000 deep': () => nested('{"a":', '}', 100_000),
  'sequence 1e999': withSequenceText('1e999'),
  'the largest sequence': withStatus({seq: Number.MAX_SAFE_INTEGER}),
  'a negative sequence': withStatus({seq: -1}),
  'a sequence of 100000 digits': withSequenceText('9'.repeat(DIGITS)),
  'the largest number of slots': withInfo({slots: Number.MAX_SAFE_INTEGER}),
  'a warm-up of 400 digits': withStatus({
    warmup_left: `${'9'.repeat(MANY_DIGITS)}ms`,
  }),
  'a start in a thousand years': record => ({
    ...record,
    born: Date.now() + 1_000 * 365 * 86_400_000,
  }),
  'a start before 1970': record => ({...record, born: -1}),
  'bytes that are no text': () => '\u0000\ufffd{]',
  'nothing in it': () => '',
  null: () => 'null',
  'three megabytes': () => 'x'.repeat(3 * MEGABYTE),
};

/** Odd records of an entry. */
export const ODD_ENTRY_RECORDS: Readonly<Record<string, Oddity>> = {
  'address port 99999': withAddress('127.0.0.1:99999'),
  'feed port 99999': record => ({...record, feedAddress: '127.0.0.1:99999'}),
  'feed port 0': record => ({...record, feedAddress: '127.0.0.1:0'}),
  'address 999.1.1.1': withAddress('999.1.1.1:80'),
  'the largest sequence': record => ({
    ...record,
    sequence: Number.MAX_SAFE_INTEGER,
  }),
};
