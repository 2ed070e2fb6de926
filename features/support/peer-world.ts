/** What steps for entries of one process share. */

import {SECOND_MS} from '@wasabidyke/shared';
import {eventually} from './eventually.js';
import type {PeerGroup, PeerSeat} from './peer-group.js';

/** World of these steps. */
export interface PeerWorld {
  group?: PeerGroup;
  newSeat: PeerSeat;
  acceptedKeys: ReadonlySet<string>;
}

/** Time for a step that starts dozens of entries. */
export const START_TIMEOUT = {timeout: 30 * SECOND_MS};

/** All entries. */
export function seatsOf(world: PeerWorld): readonly PeerSeat[] {
  return world.group!.seats;
}

/** An entry by its number, from 1. */
export function seatOf(world: PeerWorld, number: number): PeerSeat {
  return seatsOf(world)[number - 1];
}

/** Number of entries that an entry takes for live. */
export function countLive({task}: PeerSeat): number {
  return task.members().filter(({health}) => health === 'live').length;
}

/** Sum of an entry's counters whose lines begin with `name`. */
export function readCounter({registry}: PeerSeat, name: string): number {
  const lines = registry.render().split('\n');
  return lines
    .filter(line => line.startsWith(name))
    .reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);
}

/** Waits for a condition. */
export function assertSoon(
  condition: () => boolean,
  seconds: number,
  what: string,
): Promise<void> {
  return eventually(what, condition, seconds * SECOND_MS);
}
