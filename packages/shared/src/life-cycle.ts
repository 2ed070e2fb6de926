/**
 * Life cycles whose states and transitions stand in chart files. XState reads
 * a chart once, into a transition table; the table serves every instance, so
 * that a life cycle costs one look-up per event.
 */

import {readFileSync} from 'node:fs';
import {createMachine, getInitialSnapshot, getNextSnapshot} from 'xstate';
import {z} from 'zod';

const chartSchema = z.strictObject({
  id: z.string().min(1),
  description: z.string().optional(),
  initial: z.string().min(1),
  states: z.record(
    z.string(),
    z.strictObject({
      description: z.string().optional(),
      type: z.literal('final').optional(),
      on: z.record(z.string(), z.string()).optional(),
    }),
  ),
});

type ChartDocument = z.infer<typeof chartSchema>;

/** A chart read from its file, ready to run any number of life cycles. */
export class Chart<State extends string, Trigger extends string> {
  readonly id: string;
  readonly initial: State;
  readonly #next: ReadonlyMap<State, ReadonlyMap<Trigger, State>>;
  readonly #final: ReadonlySet<State>;

  private constructor(document: ChartDocument) {
    this.id = document.id;
    this.initial = document.initial as State;
    this.#next = compileTransitions<State, Trigger>(document);
    this.#final = findFinalStates<State>(document);
  }

  /**
   * Reads a chart file.
   * @throws When the file is not a valid chart: a fault of the program, not of its input.
   */
  static load<State extends string, Trigger extends string>(
    file: URL,
  ): Chart<State, Trigger> {
    const content: unknown = JSON.parse(readFileSync(file, 'utf8'));
    return new Chart<State, Trigger>(chartSchema.parse(content));
  }

  /** The state after `trigger`, or undefined where the chart has no such transition. */
  next(state: State, trigger: Trigger): State | undefined {
    return this.#next.get(state)?.get(trigger);
  }

  /** Whether `state` has no way out. */
  isFinal(state: State): boolean {
    return this.#final.has(state);
  }
}

/** Called after each transition. */
export type TransitionListener<State, Trigger> = (
  from: State,
  to: State,
  trigger: Trigger,
) => void;

/** One thing that lives through the states of a chart. */
export class LifeCycle<State extends string, Trigger extends string> {
  readonly #chart: Chart<State, Trigger>;
  readonly #onTransition: TransitionListener<State, Trigger> | undefined;
  #state: State;

  constructor(
    chart: Chart<State, Trigger>,
    onTransition?: TransitionListener<State, Trigger>,
  ) {
    this.#chart = chart;
    this.#onTransition = onTransition;
    this.#state = chart.initial;
  }

  get state(): State {
    return this.#state;
  }

  /** Whether the life cycle has ended. */
  get isFinal(): boolean {
    return this.#chart.isFinal(this.#state);
  }

  /** Applies an event. Returns false, and changes nothing, where the chart has no transition for it. */
  trigger(trigger: Trigger): boolean {
    const to = this.#chart.next(this.#state, trigger);
    if (to === undefined) {
      return false;
    }
    const from = this.#state;
    this.#state = to;
    this.#onTransition?.(from, to, trigger);
    return true;
  }
}

function compileTransitions<State extends string, Trigger extends string>(
  document: ChartDocument,
): ReadonlyMap<State, ReadonlyMap<Trigger, State>> {
  const table = new Map<State, ReadonlyMap<Trigger, State>>();
  for (const [name, state] of Object.entries(document.states)) {
    const machine = createMachine({...document, initial: name});
    const start = getInitialSnapshot(machine);
    const row = new Map<Trigger, State>();
    for (const trigger of Object.keys(state.on ?? {})) {
      const after = getNextSnapshot(machine, start, {type: trigger});
      row.set(trigger as Trigger, after.value as State);
    }
    table.set(name as State, row);
  }
  return table;
}

function findFinalStates<State extends string>(
  document: ChartDocument,
): ReadonlySet<State> {
  const names = Object.keys(document.states);
  const final = names.filter(name => document.states[name].type === 'final');
  return new Set(final as State[]);
}
