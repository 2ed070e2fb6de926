/** The entry: a balancer process that forwards callers' requests to upstreams. */

export {
  createEntryContainer,
  type EntryContainer,
  type EntryCradle,
} from './container.js';
export {
  BudgetSlot,
  LeasedBudgetSlot,
  type HeldShare,
} from './control/budget-slot.js';
export {DeparturePublisher} from './control/departure-tracker.js';
export {RevisionGuard} from './control/manifest-keeper.js';
export {AnswerSink, type FlowControl} from './data-path/answer-sink.js';
export {Attempt} from './data-path/attempt.js';
export {
  createAttemptPool,
  type AttemptPoolOptions,
} from './data-path/attempt-pool.js';
export {Dispatch} from './data-path/dispatch.js';
export type {DispatchJob} from './data-path/dispatch-job.js';
export {RequestDispatcher} from './data-path/dispatcher.js';
export {Entry} from './entry.js';
export {HomeTokenIssuer} from './at-most-once/home-token.js';
export {Ledger} from './at-most-once/run-ledger.js';
export {
  runEntry,
  type ContainerOverride as ContainerChange,
} from './run-entry.js';
