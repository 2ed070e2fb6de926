/** The command that submits a manifest. */

import {createHash} from 'node:crypto';
import {
  manifestSubmissionSchema,
  type ManifestSubmission,
  type SubmissionAnswer,
} from '@wasabidyke/operator';
import {Err, Ok, type Result} from '@wasabidyke/shared';
import {InvalidArgumentError, type Command} from 'commander';
import {formatExamples, type CommandContext} from '../command-context.js';
import {
  addConnectionOptions,
  openConnection,
  type ConnectionOptions,
} from '../connection.js';
import {ExitStatus, toExitStatus} from '../exit-status.js';
import {readManifestFile} from '../manifest-file.js';
import {countFindings, type Output} from '../output.js';

/** Characters of a digest that identify a submission. */
const IDENTITY_LENGTH = 32;

interface SubmitOptions extends ConnectionOptions {
  readonly basedOn: number;
  readonly submission?: string;
  readonly json?: boolean;
}

/** Adds `manifest submit`. */
export function addSubmit(manifest: Command, context: CommandContext): void {
  addConnectionOptions(manifest.command('submit <file>'))
    .description(
      'put a manifest in force; after a lost answer, run the same line again',
    )
    .requiredOption(
      '--based-on <revision>',
      'revision that the manifest was written against; 0 for the first',
      parseRevision,
    )
    .option(
      '--submission <identity>',
      'identity of the submission (default: from the revision and the text)',
    )
    .option('--json', 'write JSON')
    .addHelpText(
      'after',
      formatExamples([
        'manifest submit manifest.jsonc --based-on 7',
        'manifest submit manifest.jsonc --based-on 7 --submission build-4711',
      ]),
    )
    .action(async (file: string, options: SubmitOptions) =>
      context.finish(await submitManifest(file, options, context)),
    );
}

async function submitManifest(
  file: string,
  options: SubmitOptions,
  {output, environment}: CommandContext,
): Promise<ExitStatus> {
  const submission = await readSubmission(file, options);
  if (submission.isErr()) {
    output.error(submission.error);
    return ExitStatus.BAD_INPUT;
  }
  const connection = await openConnection(options, environment);
  if (connection.isErr()) {
    output.error(connection.error);
    return ExitStatus.BAD_INPUT;
  }
  const identity = submission.value.submission;
  output.info(`Submission ${identity}.`);
  const answer = await connection.value.use(options.entry, client =>
    client.submitManifest(submission.value),
  );
  if (answer.isErr()) {
    const status = toExitStatus(answer.error);
    output.error(answer.error.message);
    if (status === ExitStatus.UNKNOWN) {
      tellToRunAgain(output);
    }
    return status;
  }
  if (options.json) {
    output.writeJson({submission: identity, ...answer.value});
  }
  return reportAnswer(file, answer.value, output);
}

function reportAnswer(
  file: string,
  answer: SubmissionAnswer,
  output: Output,
): ExitStatus {
  switch (answer.outcome) {
    case 'accepted':
      output.success(`Accepted as revision ${answer.revision}.`);
      return ExitStatus.DONE;
    case 'already-accepted':
      output.success(`Accepted earlier as revision ${answer.revision}.`);
      return ExitStatus.DONE;
    case 'superseded':
      output.error(
        `Refused: revision ${answer.presentRevision} is in force; base the manifest on it.`,
      );
      return ExitStatus.REFUSED;
    case 'rejected': {
      const findings = answer.findings.map(finding => ({
        ...finding,
        place: {...finding.place, source: file},
      }));
      output.writeFindings(findings);
      output.error(`Rejected: ${countFindings(findings.length)}.`);
      return ExitStatus.REFUSED;
    }
    case 'unknown':
      output.error(answer.message);
      tellToRunAgain(output);
      return ExitStatus.UNKNOWN;
  }
}

async function readSubmission(
  file: string,
  {basedOn, submission}: SubmitOptions,
): Promise<Result<ManifestSubmission, string>> {
  const body = await readManifestFile(file);
  if (body.isErr()) {
    return body;
  }
  const parsed = manifestSubmissionSchema.safeParse({
    body: body.value,
    basedOn,
    submission: submission ?? deriveIdentity(basedOn, body.value),
  });
  if (!parsed.success) {
    const messages = parsed.error.issues.map(
      ({path, message}) => `${path.join('.')}: ${message}`,
    );
    return Err(messages.join(' '));
  }
  return Ok(parsed.data);
}

// The same text on the same revision is the same submission, so that running
// the line again after a lost answer settles it.
function deriveIdentity(basedOn: number, body: string): string {
  const digest = createHash('sha256').update(`${basedOn}\n${body}`);
  return digest.digest('hex').slice(0, IDENTITY_LENGTH);
}

function parseRevision(text: string): number {
  const revision = Number(text);
  if (!/^\d+$/.test(text) || !Number.isSafeInteger(revision)) {
    throw new InvalidArgumentError('Give a whole number, 0 or more.');
  }
  return revision;
}

function tellToRunAgain(output: Output): void {
  output.error(
    'The outcome is unknown. Run the same command again: it never submits twice, and tells what became of the first run.',
  );
}
