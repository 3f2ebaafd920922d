/**
 * Limits the operations of an account over all proxies together.
 *
 * @module
 */
import type { Failure } from "../../kernel/result_codes.ts";
import type { Account } from "../accounts/accounts.ts";

/** Decides whether operations may run. */
export interface Quotas {
  /**
   * Asks for one operation of an account: a single statement or a whole
   * transaction. Returns undefined if it may run, else the failure; a promise
   * only if another proxy has to be asked. The result is of no use after
   * `usefulUntil`, in ms of the process's clock.
   */
  admit(
    account: Account | undefined,
    usefulUntil: number,
  ): Failure | undefined | Promise<Failure | undefined>;
  /** Counts of the accounts that had most operations here, at most `limit` of them. */
  usage(limit: number): readonly AccountUsage[];
}

/** Operations of an account at this proxy since it started. */
export interface AccountUsage {
  readonly account: string;
  /** Operations that were given a token, by a coordinator or from this proxy's own part. */
  readonly granted: number;
  /** Operations that were admitted. */
  readonly used: number;
  readonly refused: number;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    quotas: Quotas;
  }
}
