/**
 * What all sessions work with.
 *
 * @module
 */
import type { EventLog } from "../../kernel/events.ts";
import type { UpstreamPools } from "../connections/upstream_pools.ts";
import type { InstanceDirectory } from "../deployment/instance_directory.ts";
import type { Route, RoutesInForce } from "../deployment/routes.ts";
import type { PrimarySamples } from "../freshness/primary_samples.ts";
import type { Succession } from "../leadership/succession.ts";
import type { ReadPlacement } from "../placement/read_placement.ts";
import type { LinkOperation, PreparedShape } from "../upstream/link.ts";
import { laterPosition, type Position } from "../upstream/position.ts";
import type { RequestLog } from "./request_log.ts";

/** Services that the sessions share. */
export interface SessionContext {
  readonly routes: RoutesInForce;
  readonly directory: InstanceDirectory;
  readonly pools: UpstreamPools;
  readonly succession: Succession;
  readonly placement: ReadPlacement;
  /** Samples of a group's primary. */
  samples(group: string): PrimarySamples;
  readonly log: EventLog;
  readonly requests: RequestLog;
}

/** What belongs to one session and moves with it from connection to connection. */
export class SessionState {
  readonly values = new Map<string, string>();
  readonly prepared = new Map<string, PreparedShape>();
  #position: Position | undefined;
  /** Statements that were sent and may still run. */
  readonly #running = new Set<Promise<void>>();

  /** Notes a statement that may run until the promise resolves. */
  track(completion: Promise<void>): void {
    this.#running.add(completion);
    void completion.then(() => this.#running.delete(completion));
  }

  /** Resolves when no statement of the session can run any more, so that a change of its values concerns none that was sent before. */
  async waitForRunning(): Promise<void> {
    await Promise.all(this.#running);
  }

  /** Position that the session's own writes have reached. */
  get position(): Position | undefined {
    return this.#position;
  }

  /** Notes the position after a write of the session. */
  recordWrite(position: Position | undefined): void {
    if (!position) return;
    this.#position = this.#position
      ? laterPosition(this.#position, position)
      : position;
  }
}

/** One statement on its way, with the route that it follows. */
export interface Task {
  readonly context: SessionContext;
  readonly session: SessionState;
  readonly route: Route;
  readonly id: string;
  readonly receivedAt: number;
  /** Monotonic ms by which it is answered. */
  readonly deadline: number;
  /** Monotonic ms after which an answer is worth less to the caller. */
  readonly usefulUntil: number;
}

/** What a statement runs. */
export interface StatementOperation {
  readonly operation: LinkOperation;
  /** The statement that it executes, when it was prepared before. */
  readonly shape?: PreparedShape;
}
