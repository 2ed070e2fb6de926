/** Steps for entries that talk to each other as processes of their own. */

import {After, Given, Then, When} from '@cucumber/cucumber';
import {createIncarnation} from '@wasabidyke/peer';
import {SECOND_MS} from '@wasabidyke/shared';
import {ForkedPeer} from '@wasabidyke/stand-ins';
import {eventually} from '../support/eventually.js';

interface PeerProcessWorld {
  peers?: ForkedPeer[];
}

const REGION = 'north';
const TIMINGS = {periodMs: 100, suspectAfterMs: 1_500, deadAfterMs: 30_000};
const STEP_TIMEOUT = {timeout: 60 * SECOND_MS};

async function listSameCount(
  peers: readonly ForkedPeer[],
  count: number,
  seconds: number,
): Promise<void> {
  const isListed = async () => {
    const reports = await Promise.all(peers.map(peer => peer.report()));
    return reports.every(({live}) => live.length === count);
  };
  await eventually(`${count} live entries`, isListed, seconds * SECOND_MS);
}

After(async function (this: PeerProcessWorld) {
  await Promise.all((this.peers ?? []).map(peer => peer.kill()));
});

function createPeer(number: number): ForkedPeer {
  const member = {
    entry: `entry-${number}`,
    incarnation: createIncarnation(),
    callerAddress: `127.0.0.1:${number}`,
    region: REGION,
    zone: REGION,
  };
  const settings = {member, host: '127.0.0.1', seed: number, timings: TIMINGS};
  return new ForkedPeer(settings, () => undefined);
}

Given(
  '{int} entries as processes of their own',
  STEP_TIMEOUT,
  async function (this: PeerProcessWorld, count: number) {
    this.peers = [];
    for (let number = 1; number <= count; number++) {
      const peer = createPeer(number);
      const seeds = this.peers.map(({target}) => target);
      this.peers.push(peer);
      await peer.start(seeds);
    }
    await listSameCount(this.peers, count, 20);
  },
);

When(
  'entry {int} is killed and started again',
  STEP_TIMEOUT,
  async function (this: PeerProcessWorld, number: number) {
    await this.peers![number - 1].kill();
    const seeds = this.peers!.map(({target}) => target);
    const peer = createPeer(number);
    this.peers![number - 1] = peer;
    await peer.start(seeds);
  },
);

Then(
  'every process lists within {int} seconds only the new process of entry {int}',
  STEP_TIMEOUT,
  async function (this: PeerProcessWorld, seconds: number, number: number) {
    const {entry, incarnation} = this.peers![number - 1].settings.member;
    const isListed = async () => {
      const reports = await Promise.all(this.peers!.map(peer => peer.report()));
      return reports.every(({live}) => {
        const members = live.filter(member => member.entry === entry);
        return members.length === 1 && members[0].incarnation === incarnation;
      });
    };
    await eventually('the new process', isListed, seconds * SECOND_MS);
  },
);

When(
  'entry {int} is frozen',
  function (this: PeerProcessWorld, number: number) {
    this.peers![number - 1].freeze();
  },
);

When('entry {int} runs on', function (this: PeerProcessWorld, number: number) {
  this.peers![number - 1].resume();
});

Then(
  'the other entries list {int} live entries within {int} seconds',
  STEP_TIMEOUT,
  async function (this: PeerProcessWorld, count: number, seconds: number) {
    await listSameCount(this.peers!.slice(0, count), count, seconds);
  },
);

Then(
  'every process lists {int} live entries within {int} seconds',
  STEP_TIMEOUT,
  async function (this: PeerProcessWorld, count: number, seconds: number) {
    await listSameCount(this.peers!, count, seconds);
  },
);
