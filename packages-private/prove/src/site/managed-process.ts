/** A process of a site: started, signalled and ended by its own identity alone. */

import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {closeSync, openSync} from 'node:fs';
import {createInterface} from 'node:readline';
import {z} from 'zod';

const READY_TIMEOUT_MS = 30_000;

/** Exit status of a runner that was interrupted. */
const INTERRUPTED_STATUS = 130;

const readySchema = z.looseObject({ready: z.literal(true)});

/** What to run. */
export interface ProcessOptions {
  readonly name: string;
  /** Arguments of Node.js, the program's file first. */
  readonly commandArguments: readonly string[];
  /** Takes the process's error output. */
  readonly logFile: string;
}

/** Processes of this runner that still live; none may outlive it. */
const living = new Set<ChildProcess>();

process.once('exit', () => {
  for (const child of living) {
    child.kill('SIGKILL');
  }
});

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => process.exit(INTERRUPTED_STATUS));
}

/** A running process. */
export class ManagedProcess {
  readonly name: string;
  readonly #child: ChildProcess;
  readonly #ended: Promise<number | null>;
  #hasEnded = false;
  #isKilled = false;

  private constructor(name: string, child: ChildProcess) {
    this.name = name;
    this.#child = child;
    living.add(child);
    this.#ended = once(child, 'exit').then(([status]) => {
      living.delete(child);
      this.#hasEnded = true;
      return status as number | null;
    });
  }

  /** Starts a process without waiting for its ready line. */
  static start(options: ProcessOptions): ManagedProcess {
    const log = openSync(options.logFile, 'a');
    const child = spawn(process.execPath, options.commandArguments, {
      stdio: ['pipe', 'pipe', log],
    });
    closeSync(log);
    child.stdin?.on('error', () => {});
    return new ManagedProcess(options.name, child);
  }

  /** The process's ready line. @throws When it ends or stays silent instead. */
  async waitUntilReady<Schema extends z.ZodType>(
    schema: Schema,
  ): Promise<z.infer<Schema>> {
    const {stdout} = this.#child;
    if (stdout === null) {
      throw new Error(`${this.name} has no output`);
    }
    const lines = createInterface({input: stdout});
    const timeout = AbortSignal.timeout(READY_TIMEOUT_MS);
    const silent = this.#ended.then(() => {
      throw new Error(`${this.name} ended before it was ready; see its log`);
    });
    const [line] = (await Promise.race([
      once(lines, 'line', {signal: timeout}),
      silent,
    ])) as string[];
    lines.on('line', () => {});
    readySchema.parse(JSON.parse(line));
    return schema.parse(JSON.parse(line));
  }

  /** Whether the process has ended. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** The status with which it ended by itself; 0 before, or when a signal ended it. */
  get exitStatus(): number {
    return this.#child.exitCode ?? 0;
  }

  /** Its exit status once it has ended; null when a signal ended it. */
  get ended(): Promise<number | null> {
    return this.#ended;
  }

  /** Writes a line to its input. */
  writeLine(line: string): void {
    this.#child.stdin?.write(`${line}\n`);
  }

  /** Sends a signal. */
  signal(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  /** Whether this runner killed it. */
  get isKilled(): boolean {
    return this.#isKilled;
  }

  /** Ends it at once. */
  async kill(): Promise<void> {
    this.#isKilled = true;
    this.signal('SIGKILL');
    await this.#ended;
  }
}
