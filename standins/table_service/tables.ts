/**
 * In-memory tables with conditional and transactional writes.
 *
 * @module
 */
import { type Condition, evaluateCondition, type Item } from "./expressions.ts";

/** A conditional put of one item. */
export interface PutRequest extends Condition {
  readonly TableName: string;
  readonly Item: Item;
}

/** For each put of a transaction, whether its condition holds. */
export type ConditionResults = readonly boolean[];

/** All tables; a table is created by its first write. */
export class Tables {
  readonly #keyAttribute: string;
  readonly #items = new Map<string, Item>();

  constructor(keyAttribute: string) {
    this.#keyAttribute = keyAttribute;
  }

  /** Reads an item by its key. */
  get(table: string, key: Item): Item | undefined {
    return this.#items.get(this.#itemKey(table, key));
  }

  /** Writes all items if all conditions hold, else none. */
  put(puts: readonly PutRequest[]): ConditionResults {
    const conditionResults = puts.map((put) =>
      evaluateCondition(put, this.get(put.TableName, put.Item))
    );
    if (!conditionResults.every((holds) => holds)) return conditionResults;
    for (const put of puts) {
      this.#items.set(this.#itemKey(put.TableName, put.Item), put.Item);
    }
    return conditionResults;
  }

  #itemKey(table: string, item: Item): string {
    return JSON.stringify([table, item[this.#keyAttribute]]);
  }
}
