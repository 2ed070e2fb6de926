/** Runs an entry from its settings file until it is told to stop. */

import {readSettings, readToken} from '@wasabidyke/operator';
import {formatFinding, type Finding} from '@wasabidyke/shared';
import {createEntryContainer, type EntryContainer} from './container.js';
import {Entry} from './entry.js';

/** Exit status of bad use or settings. */
const BAD_USE_STATUS = 2;

/** Exit status of an entry that could not start. */
const FAILED_STATUS = 1;

/** Registers other parts in place of the usual ones; for tests. */
export type ContainerChange = (container: EntryContainer) => void;

/** Runs an entry until it is told to stop. */
export async function runEntry(
  settingsFile: string,
  change: ContainerChange = () => {},
): Promise<void> {
  const settings = await readSettings(settingsFile);
  if (settings.isErr()) {
    return refuse(settings.error);
  }
  const token = await readToken(settings.value, process.env);
  if (token.isErr()) {
    return refuse(token.error);
  }
  const container = createEntryContainer(settings.value, token.value);
  change(container);
  const entry = new Entry(container);
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    process.on(signal, () => {
      void entry.stop().then(() => process.exit(0));
    });
  }
  try {
    await entry.start();
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    process.stderr.write(`wasabidyke-entry: ${message}\n`);
    process.exit(FAILED_STATUS);
  }
  const {callers, operators} = settings.value;
  const ready = {
    ready: true,
    callers: callers.address,
    operators: operators.address,
  };
  process.stdout.write(`${JSON.stringify(ready)}\n`);
}

function refuse(findings: readonly Finding[]): void {
  process.stderr.write(`${findings.map(formatFinding).join('\n')}\n`);
  process.exitCode = BAD_USE_STATUS;
}
