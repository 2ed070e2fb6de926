/** Queues calls from peers in the task's mailbox, which limits how many wait. */

import type {MessageInitShape} from '@bufbuild/protobuf';
import {Code, ConnectError, type HandlerContext} from '@connectrpc/connect';
import type {
  ExchangeRequest,
  ExchangeResponse,
  FetchManifestRequest,
  FetchManifestResponseSchema,
  HandOverRequest,
  HandOverResponseSchema,
  LedgerRecord as WireLedgerRecord,
  PushRequest,
  PushResponseSchema,
} from './gen/wasabidyke/peer/v1/peer_pb.js';
import {
  fromWireRecord,
  MAXIMUM_CHUNK_RECORDS,
  type LedgerRecord,
} from './ledger-record.js';
import type {PeerHandler, PeerIdentity} from './peer-handler.js';
import type {PeerMetrics} from './peer-metrics.js';
import type {PeerInbox} from './peer-service.js';

/** Messages that a `PeerTask` handles one at a time. */
export type PeerMessage =
  | {readonly kind: 'tick'}
  | {
      readonly kind: 'exchange';
      readonly request: ExchangeRequest;
      readonly from: PeerIdentity;
      readonly answer: (response: ExchangeResponse) => void;
    }
  | {
      readonly kind: 'push';
      readonly request: PushRequest;
      readonly from: PeerIdentity;
      /** Called with the number of pushed rows that the table contains now. */
      readonly answer: (held: number) => void;
    };

/** Options of `MailboxInbox`. */
export interface MailboxInboxOptions {
  /** Adds a message to the mailbox. Returns false when the mailbox is full. */
  readonly post: (message: PeerMessage) => boolean;
  readonly handler: PeerHandler;
  readonly metrics: PeerMetrics;
  readonly onSender: (from: PeerIdentity, context: HandlerContext) => void;
}

/** Queues calls from peers in the task's mailbox. */
export class MailboxInbox implements PeerInbox {
  readonly #options: MailboxInboxOptions;

  constructor(options: MailboxInboxOptions) {
    this.#options = options;
  }

  onSender(from: PeerIdentity, context: HandlerContext): void {
    this.#options.onSender(from, context);
  }

  onExchange(
    request: ExchangeRequest,
    from: PeerIdentity,
  ): Promise<ExchangeResponse> {
    return this.#postAndWait(answer => ({
      kind: 'exchange',
      request,
      from,
      answer,
    }));
  }

  async onPush(
    request: PushRequest,
    from: PeerIdentity,
  ): Promise<MessageInitShape<typeof PushResponseSchema>> {
    const held = await this.#postAndWait<number>(answer => ({
      kind: 'push',
      request,
      from,
      answer,
    }));
    return {held, refused: request.rows.length - held};
  }

  onFetchManifest({
    knownRevision,
  }: FetchManifestRequest): MessageInitShape<
    typeof FetchManifestResponseSchema
  > {
    const record = this.#options.handler.onManifestRequest(knownRevision);
    return {record: record ?? ''};
  }

  onHandOver(
    request: HandOverRequest,
    from: PeerIdentity,
  ): MessageInitShape<typeof HandOverResponseSchema> {
    const records = this.#parseRecords(request.records);
    const acceptedKeys = this.#options.handler.onLedgerRecords(records, from);
    return {acceptedKeys: [...acceptedKeys]};
  }

  #parseRecords(
    wireRecords: readonly WireLedgerRecord[],
  ): readonly LedgerRecord[] {
    const {metrics} = this.#options;
    const excess = wireRecords.length - MAXIMUM_CHUNK_RECORDS;
    if (excess > 0) {
      metrics.refusals('too-many').add(excess);
    }
    const parsedRecords = wireRecords
      .slice(0, MAXIMUM_CHUNK_RECORDS)
      .map(fromWireRecord);
    const records = parsedRecords.filter(record => record !== undefined);
    metrics.refusals('malformed').add(parsedRecords.length - records.length);
    return records;
  }

  /** Posts a message and waits for its answer; refuses the call when the mailbox is full. */
  #postAndWait<Answer>(
    createMessage: (answer: (value: Answer) => void) => PeerMessage,
  ): Promise<Answer> {
    return new Promise((resolve, reject) => {
      if (!this.#options.post(createMessage(resolve))) {
        this.#options.metrics.refusals('busy').add();
        const message = 'Too many calls wait; call again later.';
        reject(new ConnectError(message, Code.ResourceExhausted));
      }
    });
  }
}
