/**
 * The transactions that one sender has open on this proxy's connections.
 *
 * @module
 */
import type { LocalTransaction } from "./local_transaction.ts";
import type { Values } from "./local_work.ts";

/** A transaction and the values of its last statement. */
export interface HeldTransaction {
  readonly transaction: LocalTransaction;
  values: Values;
}

/** Transactions of one connection of a sender, by the sender's numbers. */
export class HeldTransactions {
  readonly #open = new Map<number, HeldTransaction>();
  /** Numbers of transactions that are being begun; false once the sender has given them up. */
  readonly #beginning = new Map<number, boolean>();
  #hasEnded = false;

  /** Whether the sender's connection has ended. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Number of open transactions. */
  get size(): number {
    return this.#open.size;
  }

  /** Records that a transaction is being begun. */
  begin(number: number): void {
    this.#beginning.set(number, true);
  }

  /** Whether the sender still waits for a transaction that is being begun. */
  isWanted(number: number): boolean {
    return !this.#hasEnded && this.#beginning.get(number) === true;
  }

  /** Ends the begin of a transaction; one that is open but no longer wanted is rolled back. */
  finishBegin(
    number: number,
    transaction: LocalTransaction | undefined,
    values: Values,
  ): void {
    const isWanted = this.isWanted(number);
    this.#beginning.delete(number);
    if (!transaction) return;
    if (isWanted) this.#open.set(number, { transaction, values });
    else void transaction.rollback();
  }

  /** An open transaction. */
  get(number: number): HeldTransaction | undefined {
    return this.#open.get(number);
  }

  /** Removes a transaction, which the caller ends; one that is being begun is rolled back later. */
  remove(number: number): LocalTransaction | undefined {
    if (this.#beginning.has(number)) this.#beginning.set(number, false);
    const held = this.#open.get(number);
    this.#open.delete(number);
    return held?.transaction;
  }

  /** Rolls back the transactions that have been idle for longer than `limit` ms; returns their number. */
  endIdle(limit: number): number {
    let count = 0;
    for (const [number, { transaction }] of this.#open) {
      if (transaction.idleTime() <= limit) continue;
      this.#open.delete(number);
      void transaction.rollback();
      count += 1;
    }
    return count;
  }

  /** Rolls back all transactions: the sender is gone, or this proxy stops. */
  end(): void {
    this.#hasEnded = true;
    for (const { transaction } of this.#open.values()) {
      void transaction.rollback();
    }
    this.#open.clear();
  }
}
