/**
 * Advances the head of an environment by one conditional write and resolves
 * lost replies. Retries are idempotent: the row under the operation's id shows
 * whether an earlier attempt took effect.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
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
  parseHead,
} from "./head.ts";
import type { Operation } from "./revisions.ts";

const INITIAL_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 1_000;

/** Writes the head rows of environments. */
export class HeadWriter {
  readonly #table: TableService;
  readonly #outcomeTimeoutMs: number;

  constructor(table: TableService, outcomeTimeoutMs: number) {
    this.#table = table;
    this.#outcomeTimeoutMs = outcomeTimeoutMs;
  }

  /**
   * Makes the document with this hash the next revision of the environment.
   * Fails with DOCUMENT_CONFLICT when the head has another number than expected
   * or the operation id belongs to another document, and with DOCUMENT_UNSETTLED
   * when the outcome is unknown.
   */
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
    const earlier = await this.#readOperation(environment, operation.id);
    if (earlier.isErr()) return err(earlier.error);
    if (earlier.value) return requireHash(earlier.value, hash);
    const before = await this.#readHead(environment);
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
    return await this.#writeHead(before.value, next);
  }

  /** Retries the write until its outcome is known or the timeout expires. */
  async #writeHead(
    before: Head | undefined,
    next: Head,
  ): Promise<Result<Head, Failure>> {
    const puts = createHeadPuts(before, next);
    const deadline = clock.now() + this.#outcomeTimeoutMs;
    let delay = INITIAL_RETRY_DELAY_MS;
    while (true) {
      const outcome = await this.#table.put(puts);
      if (outcome.isOk() && outcome.value === "written") return ok(next);
      if (outcome.isOk()) return await this.#resolveConflict(next, deadline);
      if (clock.now() + delay > deadline) return err(unsettled(next));
      await sleep(delay);
      delay = Math.min(delay * 2, MAX_RETRY_DELAY_MS);
    }
  }

  /** Determines whether the condition failed because of an earlier attempt of this operation or another operator's write. */
  async #resolveConflict(
    next: Head,
    deadline: number,
  ): Promise<Result<Head, Failure>> {
    let delay = INITIAL_RETRY_DELAY_MS;
    while (true) {
      const own = await this.#readOperation(next.environment, next.operation);
      if (own.isOk() && own.value) return requireHash(own.value, next.hash);
      const head = await this.#readHead(next.environment);
      if (own.isOk() && head.isOk()) {
        return err(conflict(next.environment, next.number - 1, head.value));
      }
      if (clock.now() + delay > deadline) return err(unsettled(next));
      await sleep(delay);
      delay = Math.min(delay * 2, MAX_RETRY_DELAY_MS);
    }
  }

  #readOperation(
    environment: string,
    id: string,
  ): ResultAsync<Head | undefined, Failure> {
    return this.#table.get(operationKey(environment, id))
      .map((row) => row && parseHead(environment, row));
  }

  #readHead(environment: string): ResultAsync<Head | undefined, Failure> {
    return this.#table.get(headKey(environment))
      .map((row) => row && parseHead(environment, row));
  }
}

function requireHash(head: Head, hash: string): Result<Head, Failure> {
  if (head.hash === hash) return ok(head);
  return err(createFailure(
    ResultCodes.DOCUMENT_CONFLICT,
    `operation ${head.operation} already put another document as revision ${head.number} of ${head.environment}`,
    { hint: "use a new operation id for a new document" },
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
