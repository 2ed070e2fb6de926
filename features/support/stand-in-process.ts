/** Stand-ins that run as processes of their own, with their control ports. */

import assert from 'node:assert/strict';
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';

const DIRECTORY = new URL(
  '../../../packages-private/stand-ins/dist/',
  import.meta.url,
);

interface ReadyLine {
  readonly address: string;
  readonly control: string;
}

/** A stand-in process. */
export class StandInProcess {
  readonly child: ChildProcess;
  readonly #ready: ReadyLine;

  private constructor(child: ChildProcess, ready: ReadyLine) {
    this.child = child;
    this.#ready = ready;
  }

  /** Starts a stand-in, such as `store`, on free ports of the loopback. */
  static async start(name: string): Promise<StandInProcess> {
    const file = fileURLToPath(new URL(`${name}/main.js`, DIRECTORY));
    return StandInProcess.startProgram(file, []);
  }

  /** Starts a program that prints a line of JSON when it is ready. */
  static async startProgram(
    file: string,
    programArguments: readonly string[],
  ): Promise<StandInProcess> {
    const child = spawn(process.execPath, [file, ...programArguments], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    killAtExit(child);
    assert.ok(child.stdout);
    const [line] = await once(createInterface(child.stdout), 'line');
    return new StandInProcess(child, JSON.parse(String(line)) as ReadyLine);
  }

  /** Where it serves, as an origin. */
  get origin(): string {
    return `http://${this.#ready.address}`;
  }

  /** Calls the control port and returns the answer's text. */
  async control(
    method: 'GET' | 'PUT' | 'POST' | 'PATCH' | 'DELETE',
    path: string,
    content?: object,
  ): Promise<string> {
    const body = content === undefined ? undefined : JSON.stringify(content);
    const headers = body === undefined ? {} : JSON_HEADERS;
    const url = `http://${this.#ready.control}${path}`;
    const answer = await request(url, {method, body, headers});
    const text = await answer.body.text();
    assert.equal(answer.statusCode, 200, text);
    return text;
  }

  /** Ends the process and waits until it is gone. */
  async stop(): Promise<void> {
    if (this.child.exitCode === null && this.child.signalCode === null) {
      this.child.kill('SIGKILL');
      await once(this.child, 'exit');
    }
  }
}

/** A step that fails before it has kept its processes must leave none behind. */
function killAtExit(child: ChildProcess): void {
  const kill = () => child.kill('SIGKILL');
  process.once('exit', kill);
  child.once('exit', () => process.off('exit', kill));
}

const JSON_HEADERS = {'content-type': 'application/json'};
