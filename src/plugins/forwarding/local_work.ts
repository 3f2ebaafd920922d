/**
 * Runs work that is not a session's of this proxy on its own connections: work
 * of other proxies, and what a session could not forward.
 *
 * @module
 */
import { err, type Result } from "neverthrow";
import { clock } from "../../kernel/clock.ts";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import type { LinkPools, LinkRequest } from "../connections/link_pools.ts";
import type {
  Answer,
  LinkLoss,
  LinkResult,
  LinkStatement,
  LinkStatus,
  UpstreamLink,
} from "../upstream/link.ts";
import type { Position } from "../upstream/position.ts";
import { LocalTransaction } from "./local_transaction.ts";
import type { Command } from "./work_messages.ts";

/** The values of a session. */
export type Values = ReadonlyMap<string, string>;

/** Learns what an instance answers to this proxy's own connections, which shows whether a primary is alive. */
export interface InstanceObserver {
  onRequest(instance: string): void;
  onAnswer(instance: string, term: number | undefined): void;
  onFailure(instance: string): void;
}

/** Limits of work in addition to those of its request. */
export interface WorkLimits {
  /** Monotonic ms until which a statement is answered; the request's deadline limits the wait for a connection. */
  readonly deadline: number;
  /** Whether nobody waits for the work any more, so that it is not begun; never if undefined. */
  readonly isAbandoned?: () => boolean;
  /** Called right before the work is sent to the instance. */
  readonly onBegun?: () => void;
}

/** A transaction, or the answer to its begin if it is not open. */
export interface Begun {
  readonly result: Result<Answer, LinkLoss>;
  readonly transaction?: LocalTransaction;
}

/** The pools of this proxy's own connections. */
export type LocalPools = Pick<
  LinkPools,
  "acquire" | "acquireTransactionSlot" | "outstanding"
>;

/** Runs work on this proxy's own connections. */
export class LocalWork {
  readonly #pools: LocalPools;
  readonly #observer: InstanceObserver;

  constructor(pools: LocalPools, observer: InstanceObserver) {
    this.#pools = pools;
    this.#observer = observer;
  }

  /** Statements that are outstanding at an instance through this proxy. */
  outstanding(instance: string): number {
    return this.#pools.outstanding(instance);
  }

  /** Runs a statement outside a transaction. */
  async run(
    request: LinkRequest,
    values: Values,
    statement: LinkStatement,
    limits: WorkLimits,
  ): LinkResult<Answer> {
    const acquired = await this.#acquire(request, limits);
    if (acquired.isErr()) return refused(acquired.error);
    const link = acquired.value;
    link.adopt(values, statement.operation, limits.deadline);
    const result = await this.#observe(
      link,
      link.run(statement, limits.deadline),
    );
    if (result.isOk()) link.release(result.value.fault === "busy");
    else if (result.error.notSent) link.release();
    return result;
  }

  /** Begins a transaction. */
  async begin(
    request: LinkRequest,
    values: Values,
    options: { readonly readOnly: boolean; readonly after?: Position },
    limits: WorkLimits,
  ): Promise<Begun> {
    const leave = await this.#pools.acquireTransactionSlot(request);
    if (!leave) return { result: refused(noSlot(request.instance)) };
    const acquired = await this.#acquire(request, limits);
    if (acquired.isErr()) {
      leave();
      return { result: refused(acquired.error) };
    }
    const link = acquired.value;
    link.adopt(values, undefined, limits.deadline);
    const result = await this.#observe(
      link,
      link.begin(options, limits.deadline),
    );
    if (result.isErr()) {
      leave();
      return { result };
    }
    const { fault, state } = result.value;
    if (!fault && state === "open") {
      const observe = (running: LinkResult<Answer>) =>
        this.#observe(link, running);
      return {
        result,
        transaction: new LocalTransaction({ link, leave, observe }),
      };
    }
    leave();
    if (state === "idle") link.release(fault === "busy");
    else link.destroy();
    return { result };
  }

  /** Runs a command. */
  async command(
    request: LinkRequest,
    command: Command,
    limits: WorkLimits,
  ): LinkResult<LinkStatus> {
    const acquired = await this.#acquire(request, limits);
    if (acquired.isErr()) return refused(acquired.error);
    const link = acquired.value;
    this.#observer.onRequest(link.instance);
    limits.onBegun?.();
    const result = await sendCommand(link, command, limits.deadline);
    if (result.isOk()) {
      this.#observer.onAnswer(link.instance, result.value.term);
    } else {
      this.#observer.onFailure(link.instance);
    }
    if (result.isOk() || !result.error.silent) link.release();
    return result;
  }

  /** Acquires a connection; it is given back if the work must not begin any more. */
  async #acquire(
    request: LinkRequest,
    { isAbandoned }: WorkLimits,
  ): Promise<Result<UpstreamLink, Failure>> {
    const acquired = await this.#pools.acquire(request);
    if (acquired.isErr()) return acquired;
    // This process may have stood still since the connection was granted.
    const isLate = clock.now() >= request.deadline;
    if (!isLate && !isAbandoned?.()) return acquired;
    acquired.value.release();
    return err(isLate ? late(request.instance) : abandoned());
  }

  async #observe(
    { instance }: UpstreamLink,
    running: LinkResult<Answer>,
  ): LinkResult<Answer> {
    this.#observer.onRequest(instance);
    const result = await running;
    if (result.isOk()) {
      this.#observer.onAnswer(instance, result.value.position?.term);
    } else if (!result.error.notSent) {
      this.#observer.onFailure(instance);
    }
    return result;
  }
}

function sendCommand(
  link: UpstreamLink,
  { name, term = 0 }: Command,
  deadline: number,
): LinkResult<LinkStatus> {
  switch (name) {
    case "status":
      return link.status(deadline);
    case "pause":
      return link.pause(term, deadline);
    case "resume":
      return link.resume(deadline);
    case "stepDown":
      return link.stepDown(term, deadline);
  }
}

/** The result of work that was not begun. */
export function refused(failure: Failure): Result<never, LinkLoss> {
  return err({ reason: failure.message, silent: false, notSent: failure });
}

/** Failure for work whose deadline has passed before it was begun. */
export function late(instance: string): Failure {
  return createFailure(
    ResultCodes.QUEUE_DEADLINE,
    `no connection to ${instance} within the deadline`,
  );
}

function noSlot(instance: string): Failure {
  return createFailure(
    ResultCodes.QUEUE_DEADLINE,
    `no connection of ${instance} for a transaction; retry in 200 ms`,
  );
}

function abandoned(): Failure {
  return createFailure(
    ResultCodes.SHUTTING_DOWN,
    "the proxy that sent the work is gone",
  );
}
