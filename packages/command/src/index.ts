/** The operators' command line. */

export {ExitStatus} from './exit-status.js';
export {Output} from './output.js';
export {runCommand} from './program.js';
export {mergeTimeLines} from './time-line/merge.js';
