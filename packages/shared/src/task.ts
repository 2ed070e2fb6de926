/** Tasks: units of concurrency that own their state and take messages one at a time. */

/** Told of an error that a task's message handler let through. */
export type TaskErrorListener = (task: string, error: unknown) => void;

/** A task with a bounded mailbox. Messages are handled in order, one at a time. */
export abstract class Task<Message> {
  readonly name: string;
  readonly #mailbox: Message[] = [];
  readonly #capacity: number;
  readonly #onError: TaskErrorListener;
  #isRunning = false;
  #isClosed = false;

  /** @param capacity Messages that may wait; `post` refuses more. */
  constructor(name: string, capacity: number, onError: TaskErrorListener) {
    this.name = name;
    this.#capacity = capacity;
    this.#onError = onError;
  }

  /** Messages that wait to be handled. */
  get waiting(): number {
    return this.#mailbox.length;
  }

  /** Puts a message into the mailbox. Returns false when it is full or closed. */
  post(message: Message): boolean {
    if (this.#isClosed || this.#mailbox.length >= this.#capacity) {
      return false;
    }
    this.#mailbox.push(message);
    if (!this.#isRunning) {
      this.#isRunning = true;
      queueMicrotask(() => void this.#run());
    }
    return true;
  }

  /** Refuses further messages; those that wait are dropped. */
  close(): void {
    this.#isClosed = true;
    this.#mailbox.length = 0;
  }

  /** Handles one message. The next one waits until the returned promise settles. */
  protected abstract handle(message: Message): void | Promise<void>;

  async #run(): Promise<void> {
    for (;;) {
      const message = this.#mailbox.shift();
      if (message === undefined) {
        break;
      }
      try {
        await this.handle(message);
      } catch (error) {
        this.#onError(this.name, error);
      }
    }
    this.#isRunning = false;
  }
}
