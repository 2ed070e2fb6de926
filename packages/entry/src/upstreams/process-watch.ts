/** Watches whether the processes of upstreams run, for as long as requests may be under way there. */

import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {SendWatch, type UnsettledSend} from '@wasabidyke/policy';
import {parseSocketAddress} from '@wasabidyke/shared';
import type {UpstreamHandle} from './upstream-handle.js';

/** A request that upstreams may end under. */
export interface WatchedRequest {
  /** Called when an upstream has ended that may have run the request. @param sentAtMs On the monotonic clock, in milliseconds. */
  onUpstreamEnded(handle: UpstreamHandle, sentAtMs: number): void;
}

/** A send to an upstream that is watched. */
export type WatchedSend = UnsettledSend<WatchedRequest>;

/** Time for a connection to open, in milliseconds. One that takes longer tells nothing of the process. */
const OPEN_TIMEOUT_MS = 300;

/** Time for which a connection must stay open, in milliseconds: what stands before an ended upstream may accept it and close it then. */
const OPEN_TIME_MS = 20;

/** Watches the processes of upstreams. Load queries are limited by the manifest, so that it only opens connections. */
export class ProcessWatch extends SendWatch<UpstreamHandle, WatchedRequest> {
  readonly #running = new Map<UpstreamHandle, Promise<boolean>>();
  readonly #listenedTo = new WeakSet<UpstreamHandle>();

  override onSend(
    handle: UpstreamHandle,
    request: WatchedRequest,
  ): WatchedSend {
    if (!this.#listenedTo.has(handle)) {
      this.#listenedTo.add(handle);
      handle.listenToConnections(() => this.onConnectionLost(handle));
    }
    return super.onSend(handle, request);
  }

  protected override check(handle: UpstreamHandle): Promise<boolean> {
    const running = this.#running.get(handle);
    if (running !== undefined) {
      return running;
    }
    const check = isClosed(handle.address).finally(() =>
      this.#running.delete(handle),
    );
    this.#running.set(handle, check);
    return check;
  }

  protected override seenAtMs(handle: UpstreamHandle): number {
    return handle.answeredAtMs;
  }

  /** An upstream that is leaving may end as planned. */
  protected override isCheckable({state}: UpstreamHandle): boolean {
    return state !== 'draining' && state !== 'gone';
  }

  protected override onEnded(
    handle: UpstreamHandle,
    sends: readonly WatchedSend[],
  ): void {
    for (const {request, sentAtMs} of sends) {
      request.onUpstreamEnded(handle, sentAtMs);
    }
  }
}

/** Whether an address refuses connections, or closes them at once. */
async function isClosed(address: string): Promise<boolean> {
  const target = parseSocketAddress(address);
  if (target === undefined) {
    return false;
  }
  const socket = connect(target);
  const closed = new Promise<boolean>(resolve => {
    // The error precedes the close, which tells enough.
    socket.on('error', () => {});
    socket.once('close', () => resolve(true));
    socket.once('end', () => resolve(true));
  });
  const opened = once(socket, 'connect').then(
    () => sleep(OPEN_TIME_MS, false),
    () => true,
  );
  const timedOut = sleep(OPEN_TIMEOUT_MS, false, {ref: false});
  const isEnded = await Promise.race([closed, opened, timedOut]);
  socket.destroy();
  return isEnded;
}
