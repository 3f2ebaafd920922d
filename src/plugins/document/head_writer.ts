/**
 * Moves the head of an environment by one conditional write and settles lost
 * replies. A repetition of the same write is idempotent: the row under the
 * operation's id tells whether an earlier attempt took effect.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import type { TableService } from "../table_service/table_service.ts";
import {
  createHeadPuts,
  type Head,
  headKey,
  operationKey,
  readHead,
} from "./head.ts";
import type { Operation } from "./revisions.ts";

const RETRY_PAUSE_MS = 100;
const LONGEST_PAUSE_MS = 1_000;

/** Writes heads. */
export class HeadWriter {
  readonly #table: TableService;
  readonly #settleBudget: number;

  constructor(table: TableService, settleBudget: number) {
    this.#table = table;
    this.#settleBudget = settleBudget;
  }

  /** Makes the document with this hash the next revision of the environment. */
  advance(
    environment: string,
    hash: string,
    operation: Operation,
  ): ResultAsync<Head, Failure> {
    return new ResultAsync(this.#advance(environment, hash, operation));
  }

  async #advance(
    environment: string,
    hash: string,
    operation: Operation,
  ): Promise<Result<Head, Failure>> {
    const earlier = await this.#operation(environment, operation.id);
    if (earlier.isErr()) return err(earlier.error);
    if (earlier.value) return sameDocument(earlier.value, hash);
    const before = await this.#head(environment);
    if (before.isErr()) return err(before.error);
    const base = before.value?.number ?? 0;
    if (
      operation.expectedNumber !== undefined &&
      operation.expectedNumber !== base
    ) {
      return err(conflict(environment, operation.expectedNumber, before.value));
    }
    const next: Head = {
      environment,
      number: base + 1,
      hash,
      operation: operation.id,
      operator: operation.operator,
      time: new Date().toISOString(),
    };
    return await this.#write(before.value, next);
  }

  /** Repeats the write until its outcome is known or the budget is spent. */
  async #write(
    before: Head | undefined,
    next: Head,
  ): Promise<Result<Head, Failure>> {
    const puts = createHeadPuts(before, next);
    const deadline = performance.now() + this.#settleBudget;
    let pause = RETRY_PAUSE_MS;
    while (true) {
      const outcome = await this.#table.put(puts);
      if (outcome.isOk() && outcome.value === "written") return ok(next);
      if (outcome.isOk()) return await this.#explain(next, deadline);
      if (performance.now() + pause > deadline) return err(unsettled(next));
      await sleep(pause);
      pause = Math.min(pause * 2, LONGEST_PAUSE_MS);
    }
  }

  /** Tells an earlier attempt of the same operation from another operator's write. */
  async #explain(
    next: Head,
    deadline: number,
  ): Promise<Result<Head, Failure>> {
    let pause = RETRY_PAUSE_MS;
    while (true) {
      const own = await this.#operation(next.environment, next.operation);
      if (own.isOk() && own.value) return sameDocument(own.value, next.hash);
      const head = await this.#head(next.environment);
      if (own.isOk() && head.isOk()) {
        return err(conflict(next.environment, next.number - 1, head.value));
      }
      if (performance.now() + pause > deadline) return err(unsettled(next));
      await sleep(pause);
      pause = Math.min(pause * 2, LONGEST_PAUSE_MS);
    }
  }

  #operation(
    environment: string,
    id: string,
  ): ResultAsync<Head | undefined, Failure> {
    return this.#table.get(operationKey(environment, id))
      .map((row) => row && readHead(environment, row));
  }

  #head(environment: string): ResultAsync<Head | undefined, Failure> {
    return this.#table.get(headKey(environment))
      .map((row) => row && readHead(environment, row));
  }
}

function sameDocument(head: Head, hash: string): Result<Head, Failure> {
  if (head.hash === hash) return ok(head);
  return err(createFailure(
    ResultCodes.DOCUMENT_CONFLICT,
    `operation ${head.operation} has put another document before, as revision ${head.number} of ${head.environment}`,
    { hint: "take a new operation id for a new document" },
  ));
}

function conflict(
  environment: string,
  base: number,
  head: Head | undefined,
): Failure {
  const found = head
    ? `revision ${head.number} by ${head.operator} (operation ${head.operation}, ${head.time})`
    : "no revision";
  return createFailure(
    ResultCodes.DOCUMENT_CONFLICT,
    `${environment}: expected revision ${base} as the base, found ${found}`,
    { hint: "look at `document diff`, then repeat on the new base" },
  );
}

function unsettled(next: Head): Failure {
  return createFailure(
    ResultCodes.DOCUMENT_UNSETTLED,
    `outcome unknown: revision ${next.number} of ${next.environment} may have been accepted under the operation ${next.operation}`,
    { hint: `repeat the command with --operation ${next.operation}` },
  );
}
