/** The platform's list of VMs, read by HTTP as a JSON document. */

import {Pool} from 'undici';
import {
  DocumentSource,
  Err,
  FindingCollector,
  Ok,
  formatFinding,
  type DocumentPath,
  type Result,
} from '@wasabidyke/shared';
import {exchange} from './exchange.js';
import {
  VmList,
  vmListDocumentSchema,
  vmSchema,
  type Vm,
  type VmListError,
  type VmListing,
} from './vm-list.js';

const SOURCE_NAME = 'VM list';

/** Connections to the list. */
const CONNECTIONS = 1;

/** Most findings that one reading reports. */
const MAXIMUM_FINDINGS = 100;

/** Where the list is read. */
export interface HttpVmListOptions {
  /** The document's address, such as `http://192.0.2.10:8500/vms`. */
  readonly url: string;
  /** Time until the document must be whole, in milliseconds. */
  readonly callTimeoutMs: number;
}

/** Reads the list with a GET request. */
export class HttpVmList extends VmList {
  readonly #pool: Pool;
  readonly #path: string;
  readonly #callTimeoutMs: number;

  /** @throws TypeError when the address is no URL. */
  constructor(options: HttpVmListOptions) {
    super();
    const url = new URL(options.url);
    this.#path = url.pathname + url.search;
    this.#callTimeoutMs = options.callTimeoutMs;
    const connect = {timeout: options.callTimeoutMs};
    this.#pool = new Pool(url.origin, {connections: CONNECTIONS, connect});
  }

  override async read(): Promise<Result<VmListing, VmListError>> {
    const end = await exchange(this.#pool, {
      method: 'GET',
      path: this.#path,
      timeoutMs: this.#callTimeoutMs,
    });
    if (end.kind === 'failed') {
      return Err({kind: 'unreachable', message: end.failure.message});
    }
    if (end.answer.status !== 200) {
      const message = `the list was answered with status ${end.answer.status}`;
      return Err({kind: 'unreachable', message});
    }
    return parseVmList(end.answer.text);
  }

  override async close(): Promise<void> {
    await this.#pool.destroy();
  }
}

/** Reads the list from its text; rows that cannot be read become findings. */
export function parseVmList(text: string): Result<VmListing, VmListError> {
  const source = new DocumentSource(SOURCE_NAME, text);
  const document = source.parse(vmListDocumentSchema);
  if (document.isErr()) {
    const message = formatFinding(document.error[0]);
    return Err({kind: 'malformed', message});
  }
  const findings = new FindingCollector();
  const vms = new Map<string, Vm>();
  for (const [index, row] of document.value.vms.entries()) {
    addRow(row, ['vms', index], {source, findings, vms});
  }
  const reported = findings.toSorted().slice(0, MAXIMUM_FINDINGS);
  return Ok({vms: [...vms.values()], findings: reported});
}

interface Reading {
  readonly source: DocumentSource;
  readonly findings: FindingCollector;
  readonly vms: Map<string, Vm>;
}

function addRow(row: unknown, path: DocumentPath, reading: Reading): void {
  const {source, findings, vms} = reading;
  const parsed = vmSchema.safeParse(row);
  if (!parsed.success) {
    for (const {code, message, path: inner} of parsed.error.issues) {
      const innerPath = inner.map(part =>
        typeof part === 'number' ? part : String(part),
      );
      const place = source.toPlace([...path, ...innerPath]);
      findings.add({code, message, place});
    }
    return;
  }
  if (vms.has(parsed.data.name)) {
    const message = `VM "${parsed.data.name}" stands twice; the first is used.`;
    const place = source.toPlace([...path, 'name']);
    findings.add({code: 'duplicate-vm', message, place});
    return;
  }
  vms.set(parsed.data.name, parsed.data);
}
