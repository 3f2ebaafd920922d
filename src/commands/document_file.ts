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

/** Reads a file, or standard input if the path is `-`; fails with DOCUMENT_ABSENT. */
export function readDocumentFile(
  path: string,
  stdin: Readable,
): ResultAsync<string, Failure> {
  const content = path === "-" ? text(stdin) : readFile(path, "utf8");
  return ResultAsync.fromPromise(content, (error) =>
    createFailure(
      ResultCodes.DOCUMENT_ABSENT,
      `${path}: could not read the file`,
      { detail: error instanceof Error ? error.message : String(error) },
    ));
}
