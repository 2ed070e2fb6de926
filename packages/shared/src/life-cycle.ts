/**
 * State machines defined by statechart files in JSON. XState compiles a chart
 * once into a transition table, which all instances share, so that an event
 * costs one look-up.
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

/** A statechart, shared by any number of `LifeCycle` instances. */
export class Chart<State extends string, Trigger extends string> {
  readonly id: string;
  readonly initial: State;
  readonly #transitions: ReadonlyMap<State, ReadonlyMap<Trigger, State>>;
  readonly #finalStates: ReadonlySet<State>;

  private constructor(document: ChartDocument) {
    this.id = document.id;
    this.initial = document.initial as State;
    this.#transitions = compileTransitions<State, Trigger>(document);
    this.#finalStates = findFinalStates<State>(document);
  }

  /**
   * Reads a chart file.
   * @throws When the file is not a valid chart. Chart files are part of the program, so this is a bug, not an input error.
   */
  static load<State extends string, Trigger extends string>(
    file: URL,
  ): Chart<State, Trigger> {
    const content: unknown = JSON.parse(readFileSync(file, 'utf8'));
    return new Chart<State, Trigger>(chartSchema.parse(content));
  }

  /** The state that follows `state` on `trigger`, or undefined when the chart has no such transition. */
  next(state: State, trigger: Trigger): State | undefined {
    return this.#transitions.get(state)?.get(trigger);
  }

  /** Whether the chart marks `state` as final. */
  isFinal(state: State): boolean {
    return this.#finalStates.has(state);
  }
}

/** Called nextSnapshot each transition. */
export type TransitionListener<State, Trigger> = (
  from: State,
  to: State,
  trigger: Trigger,
) => void;

/** An instance of a chart: holds the current state and applies triggers to it. */
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

  /** Whether the current state is final. */
  get isFinal(): boolean {
    return this.#chart.isFinal(this.#state);
  }

  /** Applies `trigger`. Returns false, and keeps the state, when the chart has no transition for it. */
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
    const transitions = new Map<Trigger, State>();
    for (const trigger of Object.keys(state.on ?? {})) {
      const nextSnapshot = getNextSnapshot(machine, start, {type: trigger});
      transitions.set(trigger as Trigger, nextSnapshot.value as State);
    }
    table.set(name as State, transitions);
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
