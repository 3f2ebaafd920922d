/**
 * Which account a session works for. The answer may change with each version of
 * the configuration, so it is asked for each operation.
 *
 * @module
 */
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import { err, ok, type Result } from "neverthrow";
import type { Route, RouteTable } from "../deployment/routes.ts";
import { type Account, digestKey } from "./accounts.ts";

/** The account that an operation counts for; undefined where the configuration knows no accounts or the route is public. */
export type Identity = Account | undefined;

/** The key that a caller sent, as a digest. */
export class CallerIdentity {
  readonly #digest: string | undefined;

  /** `key` is undefined or empty for a caller that sent none. */
  constructor(key: string | undefined) {
    this.#digest = key ? digestKey(key) : undefined;
  }

  /** The account that the caller may use a route for; fails if its key is not, or no longer, that of an account. */
  resolve(
    { accounts }: Pick<RouteTable, "accounts">,
    { isPublic }: Pick<Route, "isPublic">,
  ): Result<Identity, Failure> {
    if (!accounts || isPublic) return ok(undefined);
    const account = this.#digest && accounts.find(this.#digest);
    if (account) return ok(account);
    return err(createFailure(
      ResultCodes.KEY_REJECTED,
      "the key is not that of an account",
    ));
  }
}
