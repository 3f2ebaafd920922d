/**
 * A transaction on a connection of this proxy, for another proxy or for a session
 * that could not forward it.
 *
 * @module
 */
import { err, type Result } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import type { ReleaseSlot } from "../connections/transaction_limit.ts";
import type {
  Answer,
  LinkLoss,
  LinkResult,
  LinkStatement,
  UpstreamLink,
} from "../upstream/link.ts";

/** Time limit for the rollback of an abandoned transaction, in ms. */
const ROLLBACK_TIMEOUT_MS = 2_000;

/** What a transaction runs on. */
export interface LocalTransactionOptions {
  readonly link: UpstreamLink;
  /** Gives its transaction slot back. */
  readonly leave: ReleaseSlot;
  /** Records the answer to a statement, or that there is none. */
  readonly observe: (running: LinkResult<Answer>) => LinkResult<Answer>;
}

/** An open transaction; its connection returns to the pool with its end. */
export class LocalTransaction {
  readonly #options: LocalTransactionOptions;
  #hasEnded = false;
  #lastUsedAt = clock.now();
  #running = 0;

  constructor(options: LocalTransactionOptions) {
    this.#options = options;
  }

  get instance(): string {
    return this.#options.link.instance;
  }

  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Time in ms since the last answer; 0 while a statement runs. */
  idleTime(now = clock.now()): number {
    return this.#running > 0 ? 0 : now - this.#lastUsedAt;
  }

  /** Runs a statement, after those that were sent before it. An answer that says so ends the transaction. */
  async run(
    values: ReadonlyMap<string, string>,
    statement: LinkStatement,
    deadline: number,
  ): LinkResult<Answer> {
    if (this.#hasEnded) return notOpen();
    const { link, observe } = this.#options;
    link.adopt(values, statement.operation, deadline);
    this.#running += 1;
    const result = await observe(link.run(statement, deadline));
    this.#running -= 1;
    this.#lastUsedAt = clock.now();
    if (result.isErr()) {
      // Without an answer the connection is closed, or returns by itself when a late one comes.
      if (!result.error.notSent) this.#end();
    } else if (result.value.state === "idle") {
      this.#end(() => link.release());
    }
    return result;
  }

  /** Rolls the transaction back, after the statements that were sent before. */
  async rollback(): LinkResult<Answer> {
    if (this.#hasEnded) return notOpen();
    const { link } = this.#options;
    const result = await link.rollback(clock.now() + ROLLBACK_TIMEOUT_MS);
    const isIdle = result.isOk() && result.value.state === "idle";
    this.#end(() => isIdle ? link.release() : link.destroy());
    return result;
  }

  /** Gives the connection back, or closes it, at most once. */
  #end(finish: () => void = () => this.#options.link.destroy()): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    finish();
    this.#options.leave();
  }
}

/** The connection has been given back, and may run another's work. */
function notOpen(): Result<never, LinkLoss> {
  return err({ reason: "the transaction is not open", silent: false });
}
