/** A process that runs one peer task and nothing else. It obeys its parent's messages. */

import {PeerHandler, PeerTask, type SeedPeer} from '@wasabidyke/peer';
import {SeededRandom} from '@wasabidyke/policy';
import {
  MetricRegistry,
  Reporter,
  SystemClock,
  TimeLine,
} from '@wasabidyke/shared';
import type {
  PeerProcessCommand,
  PeerProcessEvent,
  PeerProcessReport,
  PeerProcessSettings,
} from './messages.js';

const TIME_LINE_EVENTS = 1_000;

/** Time for a manifest to come from another process. */
const FETCH_DEADLINE_MS = 2_000;

class PeerProcess extends PeerHandler {
  readonly #registry = new MetricRegistry();
  #task: PeerTask | undefined;
  #seeds: readonly SeedPeer[] = [];
  #record = '';
  #revision = 0;

  async obey(command: PeerProcessCommand): Promise<void> {
    switch (command.kind) {
      case 'start':
        return this.#start(command.settings);
      case 'seeds':
        this.#seeds = command.seeds;
        return;
      case 'join':
        this.#task?.setState('serving');
        return;
      case 'publish':
        this.#task?.publish(command.draft);
        return;
      case 'revision':
        return this.#apply(command.revision, command.digest);
      case 'report':
        return tell({kind: 'report', report: this.#report()});
      case 'stop':
        await this.#task?.stop();
        process.disconnect();
    }
  }

  override onManifestRequest(knownRevision: number): string | undefined {
    return this.#revision > knownRevision ? this.#record : undefined;
  }

  override onLedgerRecords(): readonly string[] {
    return [];
  }

  override onRow(row: Parameters<PeerHandler['onRow']>[0]): void {
    if (row.kind !== 'member') {
      tell({kind: 'row', rowKind: row.kind, atMs: Date.now()});
    }
    if (row.kind === 'manifest-notice') {
      void this.#follow(row.value.revision, row.value.digest);
    }
  }

  override onReplaced(): void {
    process.exitCode = 1;
  }

  async #start(settings: PeerProcessSettings): Promise<void> {
    const clock = new SystemClock();
    const {entry} = settings.member;
    const timeLine = new TimeLine(entry, clock, TIME_LINE_EVENTS);
    this.#record = settings.record ?? '';
    this.#task = new PeerTask({
      member: settings.member,
      listen: {host: settings.host, port: 0},
      seeds: () => this.#seeds,
      handler: this,
      clock,
      registry: this.#registry,
      reporter: new SilentReporter(timeLine, 'json'),
      random: new SeededRandom(settings.seed),
      timings: settings.timings,
    });
    await this.#task.start();
    tell({kind: 'listening', address: this.#task.self.peerAddress});
  }

  async #follow(revision: number, digest: string): Promise<void> {
    const known = this.#revision;
    if (revision <= known) {
      return;
    }
    const record = await this.#task?.fetchManifest(known, FETCH_DEADLINE_MS);
    if (record !== undefined) {
      this.#apply(revision, digest);
    }
  }

  #apply(revision: number, digest: string): void {
    if (revision > this.#revision) {
      this.#revision = revision;
      this.#task?.setRevision(revision, digest);
      tell({kind: 'revision', revision, atMs: Date.now()});
    }
  }

  #report(): PeerProcessReport {
    const {user, system} = process.cpuUsage();
    const memory = process.memoryUsage();
    const task = this.#task!;
    const members = task.members().filter(({health}) => health === 'live');
    return {
      live: members.map(({member: {entry, incarnation}}) => ({
        entry,
        incarnation,
      })),
      rowCounts: {
        departure: task.rows('departure').length,
        suspect: task.rows('suspect').length,
      },
      revision: this.#revision,
      processorUs: user + system,
      residentBytes: memory.rss,
      heapBytes: memory.heapUsed,
      metrics: readMetrics(this.#registry),
    };
  }
}

class SilentReporter extends Reporter {
  override report(): void {
    // Hundreds of processes would fill the terminal.
  }
}

function readMetrics(registry: MetricRegistry): Record<string, number> {
  const lines = registry.render().split('\n');
  const values = lines.filter(line => line !== '' && !line.startsWith('#'));
  return Object.fromEntries(
    values.map(line => {
      const space = line.lastIndexOf(' ');
      return [line.slice(0, space), Number(line.slice(space + 1))];
    }),
  );
}

function tell(event: PeerProcessEvent): void {
  process.send?.(event);
}

const peerProcess = new PeerProcess();
process.on('message', (command: PeerProcessCommand) => {
  void peerProcess.obey(command);
});
process.on('disconnect', () => process.exit());
