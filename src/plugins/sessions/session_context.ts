/**
 * Services that all sessions share, and the state of one session and of one
 * statement.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";
import type { EventLog } from "../../kernel/events.ts";
import type { Account } from "../accounts/accounts.ts";
import type { LinkPools } from "../connections/link_pools.ts";
import type { InstanceDirectory } from "../deployment/instance_directory.ts";
import type { ActiveRoutes, Route } from "../deployment/routes.ts";
import type { PrimarySamples } from "../freshness/primary_samples.ts";
import type { Succession } from "../leadership/succession.ts";
import type { ReadPlacement } from "../placement/read_placement.ts";
import type { Quotas } from "../quotas/quotas.ts";
import { sleep } from "../../utils/sleep.ts";
import type {
  Answer,
  LinkResult,
  PreparedStatement,
} from "../upstream/link.ts";
import { laterPosition, type Position } from "../upstream/position.ts";
import { heldByAll, type HeldMemory } from "./held_memory.ts";
import type { RequestLog } from "./request_log.ts";

/** Services that all sessions of the process share. */
export interface SessionContext {
  readonly routes: ActiveRoutes;
  readonly directory: InstanceDirectory;
  readonly pools: LinkPools;
  readonly succession: Succession;
  readonly placement: ReadPlacement;
  readonly quotas: Pick<Quotas, "admit">;
  /** Position samples of a group's primary. */
  samples(group: string): PrimarySamples;
  readonly log: EventLog;
  readonly requests: RequestLog;
}

/** Maximum length of a session's values and prepared statements with their names, in characters; four messages of the longest kind. */
const HELD_MAX_LENGTH = 4 * 1024 * 1024;

/** Length that each value and prepared statement counts in addition to its text, in characters. */
const ENTRY_OVERHEAD_LENGTH = 256;

/** State of one session, applied to each connection that the session uses. */
export class SessionState {
  readonly #values = new Map<string, string>();
  readonly #prepared = new Map<string, PreparedStatement>();
  readonly #memory: HeldMemory;
  #heldLength = 0;
  #isEnded = false;
  #position: Position | undefined;
  /** Statements that were sent and neither answered nor given up. */
  readonly #running = new Set<Promise<void>>();
  /** Monotonic ms until which a statement that was given up may still run. */
  #mayRunUntil = -Infinity;

  constructor(memory: HeldMemory = heldByAll) {
    this.#memory = memory;
  }

  /** Gives back what the session holds; it holds nothing more afterwards. */
  end(): void {
    this.#isEnded = true;
    this.#memory.tryChange(this.#heldLength, 0);
    this.#heldLength = 0;
    this.#values.clear();
    this.#prepared.clear();
  }

  get values(): ReadonlyMap<string, string> {
    return this.#values;
  }

  get prepared(): ReadonlyMap<string, PreparedStatement> {
    return this.#prepared;
  }

  /** Sets a value; returns false if the session, or all sessions together, would hold too much. */
  setValue(name: string, value: string): boolean {
    const former = this.#values.get(name);
    if (!this.#tryHold(name, value, former)) return false;
    this.#values.set(copyText(name), copyText(value));
    return true;
  }

  /** Adds or replaces a prepared statement; returns false if the session, or all sessions together, would hold too much. */
  prepare(name: string, { effect, shape }: PreparedStatement): boolean {
    const former = this.#prepared.get(name)?.shape;
    if (!this.#tryHold(name, shape, former)) return false;
    this.#prepared.set(copyText(name), { effect, shape: copyText(shape) });
    return true;
  }

  /** Whether a name stands for another prepared statement. */
  isNameTaken(name: string, { effect, shape }: PreparedStatement): boolean {
    const present = this.#prepared.get(name);
    if (!present) return false;
    return present.effect !== effect || present.shape !== shape;
  }

  /** Removes a prepared statement, if it exists. */
  deallocate(name: string): void {
    const former = this.#prepared.get(name)?.shape;
    const length = this.#heldLength - entryLength(name, former);
    this.#memory.tryChange(this.#heldLength, length);
    this.#heldLength = length;
    this.#prepared.delete(name);
  }

  #tryHold(name: string, text: string, former: string | undefined): boolean {
    const length = this.#heldLength - entryLength(name, former) +
      entryLength(name, text);
    if (this.#isEnded || length > HELD_MAX_LENGTH) return false;
    if (!this.#memory.tryChange(this.#heldLength, length)) return false;
    this.#heldLength = length;
    return true;
  }

  /** Whether a statement that was sent earlier may still run. */
  get mayRunEarlier(): boolean {
    return this.#running.size > 0 || this.#mayRunUntil > clock.now();
  }

  /** Tracks a statement that was sent. */
  track(sent: LinkResult<Answer>): void {
    const completion = this.#awaitEnd(sent);
    this.#running.add(completion);
    void completion.then(() => this.#running.delete(completion));
  }

  /**
   * Resolves to true when no statement that was sent earlier can run any more, so that a changed
   * value can't differ from the one that it runs with; to false when that can't be told by the
   * deadline, in monotonic ms, and at once if it is known before.
   */
  async waitForRunning(deadline: number): Promise<boolean> {
    if (this.#running.size > 0) {
      const remaining = deadline - clock.now();
      await Promise.race([Promise.all(this.#running), sleep(remaining)]);
    }
    const now = clock.now();
    if (this.#running.size > 0 || this.#mayRunUntil > deadline) return false;
    if (this.#mayRunUntil > now) await sleep(this.#mayRunUntil - now);
    return true;
  }

  async #awaitEnd(sent: LinkResult<Answer>): Promise<void> {
    const result = await sent;
    if (result.isOk()) return;
    const mayRunUntil = await result.error.over;
    if (mayRunUntil === undefined) return;
    this.#mayRunUntil = Math.max(this.#mayRunUntil, mayRunUntil);
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

function entryLength(name: string, text: string | undefined): number {
  if (text === undefined) return 0;
  return ENTRY_OVERHEAD_LENGTH + name.length + text.length;
}

/** Copies a part of a string, which otherwise keeps the whole string in memory. */
function copyText(text: string): string {
  return structuredClone(text);
}

/** A statement being processed, with its route and time limits. */
export interface Task {
  readonly context: SessionContext;
  readonly session: SessionState;
  readonly route: Route;
  /** Account that the statement counts for, if any. */
  readonly account?: Account;
  readonly id: string;
  readonly receivedAt: number;
  /** Monotonic time in ms by which the statement must be answered. */
  readonly deadline: number;
  /** Monotonic time in ms at which the route's target latency is reached; limits the wait for a connection. */
  readonly usefulUntil: number;
}
