/**
 * Services that all sessions share, and the state of one session and of one
 * statement.
 *
 * @module
 */
import type { EventLog } from "../../kernel/events.ts";
import type { UpstreamPools } from "../connections/upstream_pools.ts";
import type { InstanceDirectory } from "../deployment/instance_directory.ts";
import type { ActiveRoutes, Route } from "../deployment/routes.ts";
import type { PrimarySamples } from "../freshness/primary_samples.ts";
import type { Succession } from "../leadership/succession.ts";
import type { ReadPlacement } from "../placement/read_placement.ts";
import type { LinkOperation, PreparedStatement } from "../upstream/link.ts";
import { laterPosition, type Position } from "../upstream/position.ts";
import type { RequestLog } from "./request_log.ts";

/** Services that all sessions of the process share. */
export interface SessionContext {
  readonly routes: ActiveRoutes;
  readonly directory: InstanceDirectory;
  readonly pools: UpstreamPools;
  readonly succession: Succession;
  readonly placement: ReadPlacement;
  /** Position samples of a group's primary. */
  samples(group: string): PrimarySamples;
  readonly log: EventLog;
  readonly requests: RequestLog;
}

/** State of one session, applied to each connection that the session uses. */
export class SessionState {
  readonly values = new Map<string, string>();
  readonly prepared = new Map<string, PreparedStatement>();
  #position: Position | undefined;
  /** Statements that were sent and may still be running. */
  readonly #running = new Set<Promise<void>>();

  /** Tracks a statement that may be running until the promise resolves. */
  track(completion: Promise<void>): void {
    this.#running.add(completion);
    void completion.then(() => this.#running.delete(completion));
  }

  /** Resolves when no statement of the session can be running, so that a change of its values does not affect statements sent earlier. */
  async waitForRunning(): Promise<void> {
    await Promise.all(this.#running);
  }

  /** Latest position of the session's own writes; reads of the session must observe it. */
  get position(): Position | undefined {
    return this.#position;
  }

  /** Advances the session's position after one of its writes. */
  recordWrite(position: Position | undefined): void {
    if (!position) return;
    this.#position = this.#position
      ? laterPosition(this.#position, position)
      : position;
  }
}

/** A statement being processed, with its route and time limits. */
export interface Task {
  readonly context: SessionContext;
  readonly session: SessionState;
  readonly route: Route;
  readonly id: string;
  readonly receivedAt: number;
  /** Monotonic time in ms by which the statement must be answered. */
  readonly deadline: number;
  /** Monotonic time in ms at which the route's target latency is reached; limits the wait for a connection. */
  readonly usefulUntil: number;
}

/** The operation that runs a statement. */
export interface StatementOperation {
  readonly operation: LinkOperation;
  /** The prepared statement that is executed, if any. */
  readonly shape?: PreparedStatement;
}
