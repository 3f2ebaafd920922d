/**
 * Rows of the table service that record the revisions of an environment. Each
 * environment has one head row for its latest revision, and each accepted
 * revision has two immutable rows, one by number and one by operation id.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { ConditionalPut, Row } from "../table_service/table_service.ts";

/** Metadata of an accepted revision of an environment, without the document's text. */
export interface Head {
  readonly environment: string;
  /** Revision number; increases by exactly one with each accepted document. */
  readonly number: number;
  /** SHA-256 of the document's text, in hexadecimal. */
  readonly hash: string;
  /** Id of the operation that created the revision. */
  readonly operation: string;
  readonly operator: string;
  /** ISO 8601 time of the operator's clock; informational only. */
  readonly time: string;
}

/** Returns the key of an environment's head row. */
export function headKey(environment: string): string {
  return `head/${environment}`;
}

/** Returns the key of the row of an accepted revision. */
export function revisionKey(environment: string, number: number): string {
  return `revision/${environment}/${number}`;
}

/** Returns the key of the row that records the revision created by an operation. */
export function operationKey(environment: string, operation: string): string {
  return `operation/${environment}/${operation}`;
}

/** Returns the key of a document in the object store. */
export function documentKey(hash: string): string {
  return `documents/${hash}`;
}

/** Returns the SHA-256 of a document's text, in hexadecimal. */
export function contentHash(text: string): string {
  return createHash("sha256").update(text, "utf8").digest("hex");
}

/** Parses a head from a row; undefined when the row is not a valid head. */
export function parseHead(environment: string, row: Row): Head | undefined {
  const { number, hash, operation, operator, time } = row.attributes;
  if (typeof number !== "number" || !Number.isSafeInteger(number)) return;
  if (typeof hash !== "string" || typeof operation !== "string") return;
  return {
    environment,
    number,
    hash,
    operation,
    operator: String(operator ?? ""),
    time: String(time ?? ""),
  };
}

/** Creates the puts that make `next` the environment's head, to be written in one transaction. */
export function createHeadPuts(
  before: Head | undefined,
  next: Head,
): readonly ConditionalPut[] {
  const { environment, number, hash, operation, operator, time } = next;
  const attributes = { number, hash, operation, operator, time };
  const createRow = (key: string): Row => ({ key, attributes });
  return [
    {
      row: createRow(headKey(environment)),
      condition: before
        ? { kind: "equals", attribute: "number", value: before.number }
        : { kind: "absent" },
    },
    {
      row: createRow(revisionKey(environment, number)),
      condition: { kind: "absent" },
    },
    {
      row: createRow(operationKey(environment, operation)),
      condition: { kind: "absent" },
    },
  ];
}
