/**
 * The rows of the table service that say which revision an environment has:
 * one head for each environment, and for each accepted revision one immutable
 * row by number and one by operation id.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { ConditionalPut, Row } from "../table_service/table_service.ts";

/** An accepted revision of an environment, without its text. */
export interface Head {
  readonly environment: string;
  /** Grows by exactly one with each accepted document. */
  readonly number: number;
  /** SHA-256 of the document's text, hexadecimal. */
  readonly hash: string;
  /** Id of the operation that set it. */
  readonly operation: string;
  readonly operator: string;
  /** ISO 8601, from the operator's clock; for people only. */
  readonly time: string;
}

/** Key of an environment's head row. */
export function headKey(environment: string): string {
  return `head/${environment}`;
}

/** Key of the row of one accepted revision. */
export function revisionKey(environment: string, number: number): string {
  return `revision/${environment}/${number}`;
}

/** Key of the row that tells what an operation did. */
export function operationKey(environment: string, operation: string): string {
  return `operation/${environment}/${operation}`;
}

/** Key of a document in the object store. */
export function documentKey(hash: string): string {
  return `documents/${hash}`;
}

/** SHA-256 of a document's text, hexadecimal. */
export function contentHash(text: string): string {
  return createHash("sha256").update(text, "utf8").digest("hex");
}

/** Reads a head from a row; undefined when the row does not hold one. */
export function readHead(environment: string, row: Row): Head | undefined {
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

/** The writes that make `next` the environment's head; all or none take effect. */
export function createHeadPuts(
  before: Head | undefined,
  next: Head,
): readonly ConditionalPut[] {
  const { environment, number, hash, operation, operator, time } = next;
  const attributes = { number, hash, operation, operator, time };
  const write = (key: string): Row => ({ key, attributes });
  return [
    {
      row: write(headKey(environment)),
      condition: before
        ? { kind: "equals", attribute: "number", value: before.number }
        : { kind: "absent" },
    },
    {
      row: write(revisionKey(environment, number)),
      condition: { kind: "absent" },
    },
    {
      row: write(operationKey(environment, operation)),
      condition: { kind: "absent" },
    },
  ];
}
