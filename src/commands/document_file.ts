/**
 * Reads a document from a file or from standard input.
 *
 * @module
 */
import { readFile } from "node:fs/promises";
import { text } from "node:stream/consumers";
import type { Readable } from "node:stream";
import { ResultAsync } from "neverthrow";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../kernel/result_codes.ts";

/** Reads a file; `-` stands for standard input. */
export function readDocumentFile(
  path: string,
  stdin: Readable,
): ResultAsync<string, Failure> {
  const content = path === "-" ? text(stdin) : readFile(path, "utf8");
  return ResultAsync.fromPromise(content, (error) =>
    createFailure(
      ResultCodes.DOCUMENT_ABSENT,
      `${path}: expected a file that can be read`,
      { detail: error instanceof Error ? error.message : String(error) },
    ));
}
