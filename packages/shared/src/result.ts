/** Results of operations that may fail in ways their caller must handle. */

export {Err, Ok, type Result} from 'ts-results-es';
