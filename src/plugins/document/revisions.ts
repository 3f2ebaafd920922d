/**
 * The accepted documents of each environment: puts, promotions and history.
 * A document's text is one immutable object under its hash. The head row of an
 * environment moves by a conditional write to exactly the next number.
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
  readHead,
  revisionKey,
} from "./head.ts";
import { HeadWriter } from "./head_writer.ts";
import { parseDocument } from "./parse_document.ts";

/** Who changes a document, under which operation id, from which base. */
export interface Operation {
  /** Unique id; a repetition with the same id has no further effect. */
  readonly id: string;
  readonly operator: string;
  /** Number that the head must have before; default is the one that is read. */
  readonly expectedNumber?: number;
}

/** An accepted revision with its document. */
export interface StoredRevision {
  readonly head: Head;
  readonly text: string;
  readonly document: Document;
}

/** Options of `Revisions`. */
export interface RevisionsOptions {
  readonly table: TableService;
  readonly objects: ObjectStore;
  /** How long a lost reply may take to settle, in ms; default 10,000. */
  readonly settleBudget?: number;
}

const SETTLE_BUDGET_MS = 10_000;

/** Reads and changes the accepted documents. */
export class Revisions {
  readonly #table: TableService;
  readonly #objects: ObjectStore;
  readonly #writer: HeadWriter;

  constructor(options: RevisionsOptions) {
    this.#table = options.table;
    this.#objects = options.objects;
    this.#writer = new HeadWriter(
      options.table,
      options.settleBudget ?? SETTLE_BUDGET_MS,
    );
  }

  /** The environment's head; undefined before the first document. */
  head(environment: string): ResultAsync<Head | undefined, Failure> {
    return this.#read(environment, headKey(environment));
  }

  /** Makes a document the next revision of an environment. */
  put(
    environment: string,
    text: string,
    operation: Operation,
  ): ResultAsync<Head, Failure> {
    const parsed = parseDocument(text);
    if (parsed.isErr()) return errAsync(parsed.error);
    const described = requireEnvironment(parsed.value, environment);
    if (described.isErr()) return errAsync(described.error);
    const hash = contentHash(text);
    return this.#objects.put(documentKey(hash), text)
      .andThen(() => this.#writer.advance(environment, hash, operation));
  }

  /** Makes the document in force in one environment the next revision of another. */
  promote(
    from: string,
    to: string,
    operation: Operation,
  ): ResultAsync<Head, Failure> {
    return this.show(from).andThen(({ head, document }) => {
      const described = requireEnvironment(document, to);
      if (described.isErr()) return errAsync(described.error);
      return this.#writer.advance(to, head.hash, operation);
    });
  }

  /** The latest revisions of an environment, newest first. */
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
          this.#read(environment, revisionKey(environment, number))
        ),
      );
    }).map((heads) => heads.filter((head) => head !== undefined));
  }

  /** A revision with its document; the one in force when no number is given. */
  show(
    environment: string,
    number?: number,
  ): ResultAsync<StoredRevision, Failure> {
    const key = number === undefined
      ? headKey(environment)
      : revisionKey(environment, number);
    return this.#read(environment, key).andThen((head) => {
      if (!head) return errAsync(absent(environment, number));
      return this.#load(head);
    });
  }

  #load(head: Head): ResultAsync<StoredRevision, Failure> {
    const objects = this.#objects;
    return safeTry(async function* () {
      const text = yield* objects.get(documentKey(head.hash));
      const checked = yield* checkText(head, text);
      const document = yield* parseDocument(checked);
      return ok({ head, text: checked, document });
    });
  }

  #read(
    environment: string,
    key: string,
  ): ResultAsync<Head | undefined, Failure> {
    return this.#table.get(key)
      .map((row) => row && readHead(environment, row));
  }
}

/** The text when it is there and has the head's hash. */
export function checkText(
  head: Head,
  text: string | undefined,
): Result<string, Failure> {
  if (text !== undefined && contentHash(text) === head.hash) return ok(text);
  const found = text === undefined ? "no object" : "an object of another hash";
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

function absent(environment: string, number: number | undefined): Failure {
  const wanted = number === undefined ? "document" : `revision ${number}`;
  return createFailure(
    ResultCodes.DOCUMENT_ABSENT,
    `${environment} has no ${wanted}`,
    { hint: "put one with `marjoramshed document put FILE`" },
  );
}
