/**
 * Where a statement runs: the policies that choose an instance.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { Failure } from "../../kernel/result_codes.ts";
import type { Position } from "../upstream/position.ts";

/** What a policy may know of the session that sends a read. */
export interface ReadRequest {
  readonly database: string;
  /** The session's position; undefined when this proxy does not know it. */
  readonly position?: Position;
  /** Greatest age of the data, in ms. */
  readonly maxAge: number;
  /** Monotonic ms of the session's last write here; -Infinity for none. */
  readonly lastWriteAt: number;
  /** Monotonic ms. */
  readonly deadline: number;
  /** Instances that were tried for this read and failed. */
  readonly excluded: ReadonlySet<string>;
}

/** The chosen instance and why. */
export interface Choice {
  readonly instance: string;
  readonly target: "primary" | "replica";
  readonly reason: string;
  /** The position that the session knows now, for a session whose position was unknown. */
  readonly position?: Position;
}

/** A policy for reads; writes always go to the primary. */
export interface RoutingPolicy {
  chooseRead(request: ReadRequest): ResultAsync<Choice, Failure>;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    routing: RoutingPolicy;
  }
}
