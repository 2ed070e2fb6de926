/** Results of operations whose failures the caller must handle. */

export {Err, Ok, type Result} from 'ts-results-es';
