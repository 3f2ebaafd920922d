/**
 * Accepted documents of each environment: puts, promotions and history. The
 * text of a document is stored as one immutable object under its hash. A
 * conditional write advances the head row of an environment to exactly the next
 * revision number.
 *
 * @module
 */
import {
  err,
  errAsync,
  ok,
  type Result,
  ResultAsync,
  safeTry,
} from "neverthrow";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import type { ObjectStore } from "../object_store/object_store.ts";
import type { TableService } from "../table_service/table_service.ts";
import type { Document } from "./document.ts";
import {
  contentHash,
  documentKey,
  type Head,
  headKey,
  parseHead,
  revisionKey,
} from "./head.ts";
import { HeadWriter } from "./head_writer.ts";
import { parseDocument } from "./parse_document.ts";

/** Operation that changes an environment's document. */
export interface Operation {
  /** Unique id; a retry with the same id has no further effect. */
  readonly id: string;
  readonly operator: string;
  /** Number that the head must have before the change; default is the current number. */
  readonly expectedNumber?: number;
}

/** An accepted revision with its text and document. */
export interface StoredRevision {
  readonly head: Head;
  readonly text: string;
  readonly document: Document;
}

/** Options of `Revisions`. */
export interface RevisionsOptions {
  readonly table: TableService;
  readonly objects: ObjectStore;
  /** Maximum time to resolve the outcome of a write, in ms; default 10,000. */
  readonly outcomeTimeoutMs?: number;
}

const OUTCOME_TIMEOUT_MS = 10_000;

/** Reads and changes the accepted documents of environments. */
export class Revisions {
  readonly #table: TableService;
  readonly #objects: ObjectStore;
  readonly #writer: HeadWriter;

  constructor(options: RevisionsOptions) {
    this.#table = options.table;
    this.#objects = options.objects;
    this.#writer = new HeadWriter(
      options.table,
      options.outcomeTimeoutMs ?? OUTCOME_TIMEOUT_MS,
    );
  }

  /** Reads the environment's head; undefined before the first document. */
  head(environment: string): ResultAsync<Head | undefined, Failure> {
    return this.#readHead(environment, headKey(environment));
  }

  /** Validates a document and makes it the next revision of an environment. */
  put(
    environment: string,
    text: string,
    operation: Operation,
  ): ResultAsync<Head, Failure> {
    const parsed = parseDocument(text);
    if (parsed.isErr()) return errAsync(parsed.error);
    const checked = requireEnvironment(parsed.value, environment);
    if (checked.isErr()) return errAsync(checked.error);
    const hash = contentHash(text);
    return this.#objects.put(documentKey(hash), text)
      .andThen(() => this.#writer.advance(environment, hash, operation));
  }

  /** Makes the current document of one environment the next revision of another. */
  promote(
    from: string,
    to: string,
    operation: Operation,
  ): ResultAsync<Head, Failure> {
    return this.show(from).andThen(({ head, document }) => {
      const checked = requireEnvironment(document, to);
      if (checked.isErr()) return errAsync(checked.error);
      return this.#writer.advance(to, head.hash, operation);
    });
  }

  /** Lists the latest revisions of an environment, newest first. */
  history(
    environment: string,
    count: number,
  ): ResultAsync<readonly Head[], Failure> {
    return this.head(environment).andThen((head) => {
      const newest = head?.number ?? 0;
      const length = Math.min(count, newest);
      const numbers = Array.from({ length }, (_, index) => newest - index);
      return ResultAsync.combine(
        numbers.map((number) =>
          this.#readHead(environment, revisionKey(environment, number))
        ),
      );
    }).map((heads) => heads.filter((head) => head !== undefined));
  }

  /** Reads a revision with its document; without a number, the current revision. */
  show(
    environment: string,
    number?: number,
  ): ResultAsync<StoredRevision, Failure> {
    const key = number === undefined
      ? headKey(environment)
      : revisionKey(environment, number);
    return this.#readHead(environment, key).andThen((head) => {
      if (!head) return errAsync(absent(environment, number));
      return this.#load(head);
    });
  }

  #load(head: Head): ResultAsync<StoredRevision, Failure> {
    const objects = this.#objects;
    return safeTry(async function* () {
      const text = yield* objects.get(documentKey(head.hash));
      const verified = yield* verifyText(head, text);
      const document = yield* parseDocument(verified);
      return ok({ head, text: verified, document });
    });
  }

  #readHead(
    environment: string,
    key: string,
  ): ResultAsync<Head | undefined, Failure> {
    return this.#table.get(key)
      .map((row) => row && parseHead(environment, row));
  }
}

/** Returns the text if it exists and has the head's hash; otherwise fails with DOCUMENT_ABSENT. */
export function verifyText(
  head: Head,
  text: string | undefined,
): Result<string, Failure> {
  if (text !== undefined && contentHash(text) === head.hash) return ok(text);
  const found = text === undefined
    ? "no object"
    : "an object with another hash";
  return err(createFailure(
    ResultCodes.DOCUMENT_ABSENT,
    `the text of revision ${head.number} of ${head.environment}: expected an object with the hash ${head.hash}, found ${found}`,
  ));
}

function requireEnvironment(
  document: Document,
  environment: string,
): Result<void, Failure> {
  if (Object.hasOwn(document.environments, environment)) return ok();
  const known = Object.keys(document.environments).join(", ");
  return err(createFailure(
    ResultCodes.ENVIRONMENT_UNKNOWN,
    `environments: expected the environment ${environment}, found ${known}`,
  ));
}

function absent(
  environment: string,
  number: number | undefined,
): Failure {
  const missing = number === undefined ? "document" : `revision ${number}`;
  return createFailure(
    ResultCodes.DOCUMENT_ABSENT,
    `${environment} has no ${missing}`,
    { hint: "put one with `marjoramshed document put FILE`" },
  );
}
