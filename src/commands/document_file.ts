/**
 * Reads a document from a file or from standard input.
 *
 * @module
 */
import { createReadStream } from "node:fs";
import type { Readable } from "node:stream";
import { ResultAsync } from "neverthrow";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../kernel/result_codes.ts";
import { MAX_DOCUMENT_CHARACTERS } from "../plugins/document/parse_document.ts";

/** Bytes that are read; a character has at most 3 in UTF-8 (4 for a pair of UTF-16 units), so a text cut off here is too long in any case. */
const MAX_READ_BYTES = 3 * MAX_DOCUMENT_CHARACTERS + 4;

/** Reads a file, or standard input if the path is `-`; fails with DOCUMENT_ABSENT. What exceeds the length of a document is not read. */
export function readDocumentFile(
  path: string,
  stdin: Readable,
): ResultAsync<string, Failure> {
  const content = path === "-"
    ? readLimited(stdin)
    : readLimited(createReadStream(path));
  return ResultAsync.fromPromise(content, (error) =>
    createFailure(
      ResultCodes.DOCUMENT_ABSENT,
      `${path}: could not read the file`,
      { detail: error instanceof Error ? error.message : String(error) },
    ));
}

async function readLimited(stream: Readable): Promise<string> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of stream) {
    chunks.push(Buffer.from(chunk));
    length += chunk.length;
    if (length > MAX_READ_BYTES) break;
  }
  return Buffer.concat(chunks).toString("utf8");
}
