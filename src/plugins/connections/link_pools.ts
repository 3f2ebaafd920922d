/**
 * How the rest of the process gets links to instances, whoever holds the
 * connections.
 *
 * @module
 */
import { err, type Result, type ResultAsync } from "neverthrow";
import type { Failure } from "../../kernel/result_codes.ts";
import type { LinkResult, UpstreamLink } from "../upstream/link.ts";
import type { ConnectionUse, Priority } from "./connections.ts";
import type { ReleaseSlot } from "./transaction_limit.ts";

/** A request for a link to run a statement or a transaction on. */
export interface LinkRequest {
  /** Id of the instance. */
  readonly instance: string;
  /** Account that the work belongs to; undefined for the proxy's own statements and where callers have no accounts. */
  readonly account?: string;
  readonly priority: Priority;
  /** Order among the work of one instance where that is scheduled; 0 is served first. */
  readonly rank?: number;
  /** Monotonic ms until which the request may wait. */
  readonly deadline: number;
  /** Monotonic ms after which the result is less useful to the caller, if known. */
  readonly usefulUntil?: number;
}

/** Links to all instances. */
export interface LinkPools {
  /** Acquires a link to an instance; the failure's code tells whether it is unreachable or overloaded. */
  acquire(request: LinkRequest): ResultAsync<UpstreamLink, Failure>;
  /** Acquires a transaction slot at an instance; undefined at the deadline or if the instance is not listed. */
  acquireTransactionSlot(
    request: LinkRequest,
  ): Promise<ReleaseSlot | undefined>;
  /** Number of links in use plus queued requests of this proxy at an instance. */
  outstanding(id: string): number;
  /** Closes the links in use of an instance; their users see them as lost. */
  destroyBusy(id: string): void;
  /** Connection counts of the instances to which this proxy holds connections. */
  use(): readonly ConnectionUse[];
}

/** Provides links to instances by id. */
export type LinkProvider = Pick<LinkPools, "acquire">;

/** Runs `work` on a link to an instance; releases it unless the work failed with `silent`, when the connection may not be idle. */
export async function withLink<T>(
  pools: LinkProvider,
  instance: string,
  deadline: number,
  work: (link: UpstreamLink) => LinkResult<T>,
): Promise<Result<T, { readonly reason: string }>> {
  const acquired = await pools.acquire({
    instance,
    priority: "high",
    deadline,
  });
  if (acquired.isErr()) return err({ reason: acquired.error.message });
  const outcome = await work(acquired.value);
  if (outcome.isOk() || !outcome.error.silent) acquired.value.release();
  return outcome;
}
