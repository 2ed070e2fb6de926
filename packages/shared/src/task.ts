/** Tasks (actors): units of concurrency that own their state and handle messages one at a time. */

/** Called with each error that a task's message handler throws. */
export type TaskErrorListener = (task: string, error: unknown) => void;

/** A task with a bounded mailbox. Messages are handled in order, one at a time. */
export abstract class Task<Message> {
  readonly name: string;
  readonly #mailbox: Message[] = [];
  readonly #capacity: number;
  readonly #onError: TaskErrorListener;
  #isRunning = false;
  #isClosed = false;

  /** @param capacity Maximum number of waiting messages; `post` rejects more. */
  constructor(name: string, capacity: number, onError: TaskErrorListener) {
    this.name = name;
    this.#capacity = capacity;
    this.#onError = onError;
  }

  /** Number of messages in the mailbox. */
  get waiting(): number {
    return this.#mailbox.length;
  }

  /** Adds a message to the mailbox. Returns false when the mailbox is full or closed. */
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

  /** Rejects further messages and drops the waiting ones. */
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
