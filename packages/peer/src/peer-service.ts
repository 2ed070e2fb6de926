/** Implements the generated service on top of a `PeerInbox` and validates the sender of every call. */

import type {MessageInitShape} from '@bufbuild/protobuf';
import {
  Code,
  ConnectError,
  type HandlerContext,
  type ServiceImpl,
} from '@connectrpc/connect';
import {z} from 'zod';
import type {
  ExchangeRequest,
  ExchangeResponse,
  FetchManifestRequest,
  FetchManifestResponseSchema,
  HandOverRequest,
  HandOverResponseSchema,
  PeerService,
  PushRequest,
  PushResponseSchema,
  Sender,
} from './gen/wasabidyke/peer/v1/peer_pb.js';
import type {PeerIdentity} from './peer-handler.js';
import type {PeerMetrics, Procedure} from './peer-metrics.js';
import {incarnationSchema} from './rows.js';

const senderSchema = z.object({
  entry: z.string().min(1).max(128),
  incarnation: incarnationSchema,
  region: z.string().min(1).max(128),
});

/** Receives calls from peers. A rejected promise is returned to the sender as that error. */
export interface PeerInbox {
  onExchange(
    request: ExchangeRequest,
    from: PeerIdentity,
  ): Promise<ExchangeResponse>;
  onPush(
    request: PushRequest,
    from: PeerIdentity,
  ): Promise<MessageInitShape<typeof PushResponseSchema>>;
  onFetchManifest(
    request: FetchManifestRequest,
  ): MessageInitShape<typeof FetchManifestResponseSchema>;
  onHandOver(
    request: HandOverRequest,
    from: PeerIdentity,
  ): MessageInitShape<typeof HandOverResponseSchema>;
  /** Called with the sender of each call before the call is handled. */
  onSender(from: PeerIdentity, context: HandlerContext): void;
}

/** Creates the service that a `PeerServer` serves. */
export function createPeerService(
  inbox: PeerInbox,
  metrics: PeerMetrics,
): ServiceImpl<typeof PeerService> {
  const identify = (
    procedure: Procedure,
    sender: Sender | undefined,
    context: HandlerContext,
  ): PeerIdentity => {
    const parsedSender = senderSchema.safeParse(sender);
    if (!parsedSender.success) {
      metrics.refusals('malformed').add();
      const message = 'The sender does not identify itself.';
      throw new ConnectError(message, Code.InvalidArgument);
    }
    metrics.callsAnswered(procedure).add();
    inbox.onSender(parsedSender.data, context);
    return parsedSender.data;
  };
  return {
    exchange: async (request, context) =>
      inbox.onExchange(request, identify('exchange', request.sender, context)),
    push: async (request, context) =>
      inbox.onPush(request, identify('push', request.sender, context)),
    fetchManifest: async (request, context) => {
      identify('fetch-manifest', request.sender, context);
      return inbox.onFetchManifest(request);
    },
    handOver: async (request, context) =>
      inbox.onHandOver(request, identify('hand-over', request.sender, context)),
  };
}
