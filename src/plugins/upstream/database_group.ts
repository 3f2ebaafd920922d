/**
 * Control interface that the platform provides for each database group: status requests
 * and the operations fence, promote and follow. docs/design.md lists the assumptions.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { Failure } from "../../kernel/result_codes.ts";
import type { Instance } from "../document/document.ts";
import type { LogHistory } from "./position.ts";

/** Role that an instance reports for itself. */
export type Role = "primary" | "replica" | "fenced";

/** Reply of one instance to a status request. */
export interface InstanceStatus extends LogHistory {
  readonly role: Role;
  /** Highest term that the instance has seen in a fence, promote or follow request. */
  readonly seenTerm: number;
  /** Log position up to which the log is received; for a primary, the end of its own log. */
  readonly received: bigint;
  /** Log position up to which the log is applied, and so visible to reads. */
  readonly applied: bigint;
  /** Name of the instance that this one replicates from; undefined for a primary. */
  readonly source?: string;
  /** Whether a replica has received anything from its source within the last 300 ms; false for other roles. */
  readonly hearsSource: boolean;
}

/** Reply to a fence request: the history and the end of the instance's log. */
export interface FenceReply extends LogHistory {
  readonly received: bigint;
}

/** Controls the instances of database groups; one object serves all groups of a proxy. Timeouts are in ms. */
export interface DatabaseGroup {
  /** Requests the status of an instance; fails on a timeout, a refusal or a connection loss. */
  status(
    database: string,
    instance: Instance,
    timeout: number,
  ): ResultAsync<InstanceStatus, Failure>;
  /** Fences an instance, which accepts only if `term` is higher than any it has seen. */
  fence(
    database: string,
    instance: Instance,
    term: number,
    timeout: number,
  ): ResultAsync<FenceReply, Failure>;
  /** Promotes a fenced instance to primary of the term at which it was fenced. */
  promote(
    database: string,
    instance: Instance,
    term: number,
    timeout: number,
  ): ResultAsync<InstanceStatus, Failure>;
  /** Tells an instance to follow the primary of `term`, which must not be lower than the highest it has seen. */
  follow(
    database: string,
    instance: Instance,
    primary: Instance,
    term: number,
    timeout: number,
  ): ResultAsync<InstanceStatus, Failure>;
}
