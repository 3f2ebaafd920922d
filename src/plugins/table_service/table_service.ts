/**
 * The platform's transactional table service.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { Failure } from "../../kernel/result_codes.ts";

/** A row: text and number attributes under a key. */
export interface Row {
  readonly key: string;
  readonly attributes: Readonly<Record<string, string | number>>;
}

/** A conditional put: the attribute must have the expected value, or the row must be absent. */
export interface ConditionalPut {
  readonly row: Row;
  readonly condition:
    | { readonly kind: "absent" }
    | {
      readonly kind: "equals";
      readonly attribute: string;
      readonly value: string | number;
    };
}

/** How a conditional write ended when the service answered. */
export type PutOutcome = "written" | "condition failed";

/** Rows with conditional and transactional writes. A lost reply is a failure whose write may have taken effect. */
export interface TableService {
  /** Reads a row consistently; undefined when absent. Fails with TABLE_SERVICE_UNAVAILABLE. */
  get(key: string): ResultAsync<Row | undefined, Failure>;
  /** Writes all rows or none. Fails with TABLE_SERVICE_UNAVAILABLE, after which the outcome is unknown. */
  put(puts: readonly ConditionalPut[]): ResultAsync<PutOutcome, Failure>;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    table_service: TableService;
  }
}
