/** Takes calls from peers into the task's mailbox, which bounds how many wait. */

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

/** What a peer task handles, one after the other. */
export type PeerMessage =
  | {readonly kind: 'period'}
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
      /** Takes the number of rows that stand in the table now. */
      readonly answer: (held: number) => void;
    };

/** Parts of an inbox. */
export interface MailboxInboxOptions {
  /** Puts a message into the mailbox. Returns false when it is full. */
  readonly post: (message: PeerMessage) => boolean;
  readonly handler: PeerHandler;
  readonly metrics: PeerMetrics;
  readonly onCaller: (from: PeerIdentity, context: HandlerContext) => void;
}

/** Takes calls from peers into the task's mailbox. */
export class MailboxInbox implements PeerInbox {
  readonly #options: MailboxInboxOptions;

  constructor(options: MailboxInboxOptions) {
    this.#options = options;
  }

  onCaller(from: PeerIdentity, context: HandlerContext): void {
    this.#options.onCaller(from, context);
  }

  onExchange(
    request: ExchangeRequest,
    from: PeerIdentity,
  ): Promise<ExchangeResponse> {
    return this.#ask(answer => ({kind: 'exchange', request, from, answer}));
  }

  async onPush(
    request: PushRequest,
    from: PeerIdentity,
  ): Promise<MessageInitShape<typeof PushResponseSchema>> {
    const held = await this.#ask<number>(answer => ({
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
    const record = this.#options.handler.onManifestWanted(knownRevision);
    return {record: record ?? ''};
  }

  onHandOver(
    request: HandOverRequest,
    from: PeerIdentity,
  ): MessageInitShape<typeof HandOverResponseSchema> {
    const records = this.#readRecords(request.records);
    const acceptedKeys = this.#options.handler.onLedgerRecords(records, from);
    return {acceptedKeys: [...acceptedKeys]};
  }

  #readRecords(wire: readonly WireLedgerRecord[]): readonly LedgerRecord[] {
    const {metrics} = this.#options;
    const excess = wire.length - MAXIMUM_CHUNK_RECORDS;
    if (excess > 0) {
      metrics.refusals('too-many').add(excess);
    }
    const read = wire.slice(0, MAXIMUM_CHUNK_RECORDS).map(fromWireRecord);
    const records = read.filter(record => record !== undefined);
    metrics.refusals('malformed').add(read.length - records.length);
    return records;
  }

  /** Posts a message that a call waits for; a full mailbox refuses the call. */
  #ask<Answer>(
    toMessage: (answer: (value: Answer) => void) => PeerMessage,
  ): Promise<Answer> {
    return new Promise((resolve, reject) => {
      if (!this.#options.post(toMessage(resolve))) {
        this.#options.metrics.refusals('busy').add();
        const message = 'Too many calls wait; call again later.';
        reject(new ConnectError(message, Code.ResourceExhausted));
      }
    });
  }
}
