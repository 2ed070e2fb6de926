/** The command `measure --experiment account-cost`: prints one JSON document. */

import {CONFIGURATION_SIZES, measureAccountCost} from './account-cost.js';
import {readMachine} from './machine.js';

const machine = readMachine();
const startedAt = new Date().toISOString();
const cells = CONFIGURATION_SIZES.map(size => {
  const cell = measureAccountCost(size);
  console.error(JSON.stringify(cell));
  return cell;
});
const command = `npm run measure -- ${process.argv.slice(2).join(' ')}`;
const result = {experiment: 'account-cost', command, startedAt, machine, cells};
process.stdout.write(`${JSON.stringify(result, null, 1)}\n`);
