/**
 * Interface of the policies that choose an instance for a read.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { Failure } from "../../kernel/result_codes.ts";
import type { Position } from "../upstream/position.ts";

/** A read and the state of its session, as a policy sees them. */
export interface ReadRequest {
  readonly database: string;
  /** The session's position; undefined if this proxy does not know it. */
  readonly position?: Position;
  /** Maximum age of the data, in ms. */
  readonly maxAge: number;
  /** Monotonic ms of the session's last write through this proxy; -Infinity if there is none. */
  readonly lastWriteAt: number;
  /** Monotonic ms. */
  readonly deadline: number;
  /** Instances on which this read has already failed. */
  readonly excluded: ReadonlySet<string>;
}

/** The chosen instance and the reason for the choice. */
export interface Choice {
  readonly instance: string;
  readonly target: "primary" | "replica";
  readonly reason: string;
  /** The newly determined position of a session whose position was unknown. */
  readonly position?: Position;
}

/** Chooses an instance for a read; writes always go to the primary. */
export interface RoutingPolicy {
  chooseRead(request: ReadRequest): ResultAsync<Choice, Failure>;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    routing: RoutingPolicy;
  }
}
