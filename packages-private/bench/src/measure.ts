/** The command `measure`: runs the experiment that `--experiment` names. */

/** Experiments by name; each is a module that reads its own options and runs. */
const EXPERIMENTS: ReadonlyMap<string, string> = new Map([
  ['policy', './policy-command.js'],
  ['added-latency', './added-latency-command.js'],
  ['control-cost', './control-cost-command.js'],
  ['account-cost', './account-cost-command.js'],
]);

const BAD_USE_STATUS = 2;

const name = readExperimentName(process.argv);
const module = EXPERIMENTS.get(name ?? '');
if (module === undefined) {
  const names = [...EXPERIMENTS.keys()].join(', ');
  console.error(`Give --experiment with one of: ${names}.`);
  process.exitCode = BAD_USE_STATUS;
} else {
  await import(module);
}

function readExperimentName(words: readonly string[]): string | undefined {
  const index = words.indexOf('--experiment');
  return index === -1 ? undefined : words[index + 1];
}
