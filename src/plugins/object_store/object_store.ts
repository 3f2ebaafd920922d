/**
 * The platform's object store.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { Failure } from "../../kernel/result_codes.ts";

/** Immutable texts under keys. */
export interface ObjectStore {
  /** Reads an object; undefined when absent. Fails with OBJECT_STORE_UNAVAILABLE. */
  get(key: string): ResultAsync<string | undefined, Failure>;
  /** Writes an object; writing the same again is harmless. Fails with OBJECT_STORE_UNAVAILABLE. */
  put(key: string, text: string): ResultAsync<void, Failure>;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    object_store: ObjectStore;
  }
}
