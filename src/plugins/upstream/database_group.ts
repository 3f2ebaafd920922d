/**
 * What the platform gives for each database group: the status of an instance and
 * the orders fence, promote and follow. docs/design.md lists the assumptions.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { Failure } from "../../kernel/result_codes.ts";
import type { Instance } from "../document/document.ts";
import type { LogHistory } from "./position.ts";

/** What an instance believes it is. */
export type Role = "primary" | "replica" | "fenced";

/** The answer of one instance to a status request. */
export interface InstanceStatus extends LogHistory {
  readonly role: Role;
  /** The highest term that the instance has seen in a fence, promote or follow. */
  readonly seenTerm: number;
  /** Log position up to which the log is received; for a primary its own end of log. */
  readonly received: bigint;
  /** Log position up to which the log is applied and visible to reads. */
  readonly applied: bigint;
  /** Name of the instance that this one follows; undefined for a primary. */
  readonly source?: string;
  /** Whether a replica has heard its source within the last 300 ms; false for others. */
  readonly hearsSource: boolean;
}

/** The answer to a fence: the end of the log that the instance holds. */
export interface FenceReply extends LogHistory {
  readonly received: bigint;
}

/** Control of the instances of a group; one object serves all groups of a proxy. */
export interface DatabaseGroup {
  /** Asks an instance for its status; fails on timeout (ms), refusal or loss. */
  status(
    database: string,
    instance: Instance,
    timeout: number,
  ): ResultAsync<InstanceStatus, Failure>;
  /** Fences an instance: accepted only when `term` is higher than any it has seen. */
  fence(
    database: string,
    instance: Instance,
    term: number,
    timeout: number,
  ): ResultAsync<FenceReply, Failure>;
  /** Makes a fenced instance the primary of the term it is fenced at. */
  promote(
    database: string,
    instance: Instance,
    term: number,
    timeout: number,
  ): ResultAsync<InstanceStatus, Failure>;
  /** Lets an instance follow the primary of a term that it has seen or that is higher. */
  follow(
    database: string,
    instance: Instance,
    primary: Instance,
    term: number,
    timeout: number,
  ): ResultAsync<InstanceStatus, Failure>;
}
