/** Runs an entry with a settings file until a signal stops it. */

import {readSettings, readToken} from '@wasabidyke/operator';
import {formatFinding, type Finding} from '@wasabidyke/shared';
import {createEntryContainer, type EntryContainer} from './container.js';
import {Entry} from './entry.js';

/** Exit status for invalid settings or a missing token. */
const INVALID_SETTINGS_STATUS = 2;

/** Exit status of an entry that failed to start. */
const START_FAILURE_STATUS = 1;

/** Replaces parts in the container; for tests. */
export type ContainerOverride = (container: EntryContainer) => void;

/** Runs an entry until SIGINT or SIGTERM stops it. */
export async function runEntry(
  settingsFile: string,
  change: ContainerOverride = () => {},
): Promise<void> {
  const settings = await readSettings(settingsFile);
  if (settings.isErr()) {
    return exitWithFindings(settings.error);
  }
  const token = await readToken(settings.value, process.env);
  if (token.isErr()) {
    return exitWithFindings(token.error);
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
    process.exit(START_FAILURE_STATUS);
  }
  const {callers, operators} = settings.value;
  const ready = {
    ready: true,
    callers: callers.address,
    operators: operators.address,
  };
  process.stdout.write(`${JSON.stringify(ready)}\n`);
}

function exitWithFindings(findings: readonly Finding[]): void {
  process.stderr.write(`${findings.map(formatFinding).join('\n')}\n`);
  process.exitCode = INVALID_SETTINGS_STATUS;
}
