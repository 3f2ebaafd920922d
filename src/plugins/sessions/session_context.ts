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
import type { PreparedShape } from "../upstream/link.ts";
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
  /** Whether this proxy is stopping. */
  stopping(): boolean;
}

/** What belongs to one session and moves with it from connection to connection. */
export class SessionState {
  readonly values = new Map<string, string>();
  readonly prepared = new Map<string, PreparedShape>();
  #position: Position | undefined;

  /** Position that the session's own writes have reached. */
  get position(): Position | undefined {
    return this.#position;
  }

  /** Notes the position after a write of the session. */
  wrote(position: Position | undefined): void {
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
}
