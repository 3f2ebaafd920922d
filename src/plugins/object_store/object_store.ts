/**
 * The platform's object store.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { Failure } from "../../kernel/result_codes.ts";

/** Store of immutable texts by key. */
export interface ObjectStore {
  /** Reads an object; undefined when absent. Fails with OBJECT_STORE_UNAVAILABLE. */
  get(key: string): ResultAsync<string | undefined, Failure>;
  /** Writes an object; writing the same text again has no effect. Fails with OBJECT_STORE_UNAVAILABLE. */
  put(key: string, text: string): ResultAsync<void, Failure>;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    object_store: ObjectStore;
  }
}
