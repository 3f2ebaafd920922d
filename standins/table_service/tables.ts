/**
 * Tables in memory with conditional and transactional writes.
 *
 * @module
 */
import { type Condition, holdsCondition, type Item } from "./expressions.ts";

/** A put of one item under a condition. */
export interface PutRequest extends Condition {
  readonly TableName: string;
  readonly Item: Item;
}

/** Whether the condition of each put of a transaction held. */
export type Verdicts = readonly boolean[];

/** All tables; a table exists as soon as it is named. */
export class Tables {
  readonly #keyAttribute: string;
  readonly #items = new Map<string, Item>();

  constructor(keyAttribute: string) {
    this.#keyAttribute = keyAttribute;
  }

  /** Reads an item by its key. */
  get(table: string, key: Item): Item | undefined {
    return this.#items.get(this.#place(table, key));
  }

  /** Writes all items when all conditions hold, else none. */
  put(puts: readonly PutRequest[]): Verdicts {
    const verdicts = puts.map((put) =>
      holdsCondition(put, this.get(put.TableName, put.Item))
    );
    if (!verdicts.every((held) => held)) return verdicts;
    for (const put of puts) {
      this.#items.set(this.#place(put.TableName, put.Item), put.Item);
    }
    return verdicts;
  }

  #place(table: string, item: Item): string {
    return JSON.stringify([table, item[this.#keyAttribute]]);
  }
}
