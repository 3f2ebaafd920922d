/**
 * The platform's transactional table service.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { Failure } from "../../kernel/result_codes.ts";

/** A row: a key with text and number attributes. */
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

/** Outcome of a conditional write that the service responded to. */
export type PutOutcome = "written" | "condition failed";

/** Table of rows with conditional and transactional writes. A write whose reply is lost fails but may have taken effect. */
export interface TableService {
  /** Reads a row with strong consistency; undefined when absent. Fails with TABLE_SERVICE_UNAVAILABLE. */
  get(key: string): ResultAsync<Row | undefined, Failure>;
  /** Writes all rows if all conditions hold, else none. Fails with TABLE_SERVICE_UNAVAILABLE, after which the outcome is unknown. */
  put(puts: readonly ConditionalPut[]): ResultAsync<PutOutcome, Failure>;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    table_service: TableService;
  }
}
