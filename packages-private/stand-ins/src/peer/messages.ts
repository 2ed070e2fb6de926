/** What a peer process and its parent tell each other. */

import type {
  Member,
  MemberDescription,
  PeerTimings,
  RowDraft,
  SeedPeer,
} from '@wasabidyke/peer';

/** How a peer process is set up. */
export interface PeerProcessSettings {
  readonly member: MemberDescription;
  readonly host: string;
  readonly seed: number;
  readonly timings?: Partial<PeerTimings>;
  /** Text that the process answers when others want a manifest, once a revision is in force. */
  readonly record?: string;
}

/** From the parent to the process. */
export type PeerProcessCommand =
  | {readonly kind: 'start'; readonly settings: PeerProcessSettings}
  | {readonly kind: 'seeds'; readonly seeds: readonly SeedPeer[]}
  | {readonly kind: 'join'}
  | {readonly kind: 'publish'; readonly draft: RowDraft}
  | {
      readonly kind: 'revision';
      readonly revision: number;
      readonly digest: string;
    }
  | {readonly kind: 'report'}
  | {readonly kind: 'stop'};

/** What a process knows and has spent. */
export interface PeerProcessReport {
  /** Members that it believes to be live. */
  readonly live: ReadonlyArray<Pick<Member, 'entry' | 'incarnation'>>;
  /** Keys of its rows, by kind. */
  readonly rowCounts: Readonly<Record<string, number>>;
  readonly revision: number;
  /** Processor time since the start, in microseconds. */
  readonly processorUs: number;
  readonly residentBytes: number;
  readonly heapBytes: number;
  /** Values of all counters and gauges, by series. */
  readonly metrics: Readonly<Record<string, number>>;
}

/** From the process to the parent. */
export type PeerProcessEvent =
  | {readonly kind: 'listening'; readonly address: string}
  | {readonly kind: 'joined'}
  | {readonly kind: 'row'; readonly rowKind: string; readonly atMs: number}
  | {
      readonly kind: 'revision';
      readonly revision: number;
      readonly atMs: number;
    }
  | {readonly kind: 'report'; readonly report: PeerProcessReport};
