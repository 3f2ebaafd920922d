/**
 * What a proxy keeps of a caller's session between its statements.
 *
 * @module
 */
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import { err, ok, type Result } from "neverthrow";
import type {
  ProxySetting,
  ReplayedSetting,
} from "../classification/classification.ts";
import {
  formatPosition,
  laterPosition,
  parsePosition,
  type Position,
} from "../upstream/position.ts";
import type { PreparedStatement } from "./statements.ts";

/**
 * How long after its last statement a named session's position counts as known,
 * in ms. A named session may have written through another proxy since; a new
 * connection and its password take longer than this.
 */
export const SESSION_RECHECK_MS = 10;

const REQUEST_ID = /^[\x21-\x7e]{1,200}$/;

/** Position, settings, statements and the next request's id of one connection. */
export class SessionState {
  /** Name that the caller gave; a named session may use several connections. */
  name: string | undefined;
  /** Kind of read that the caller has set. */
  kind: string | undefined;
  /** Request id for the next write or transaction. */
  requestId: string | undefined;
  readonly statements = new Map<string, PreparedStatement>();
  readonly settings = new Map<string, string>();
  /** Monotonic ms of the last acknowledged write here. */
  lastWriteAt = -Infinity;
  #position: Position | undefined;
  #lastStatementAt = -Infinity;

  /** The session's position, or undefined when another proxy may know a later one. */
  position(now: number): Position | undefined {
    const outdated = this.name !== undefined &&
      now - this.#lastStatementAt > SESSION_RECHECK_MS;
    return outdated ? undefined : this.#position;
  }

  /** The last position that this connection has seen. */
  get lastPosition(): Position | undefined {
    return this.#position;
  }

  /** The same as text; empty when none. */
  positionText(): string {
    return this.#position ? formatPosition(this.#position) : "";
  }

  /** Notes a position that the session has seen; a later one is kept. */
  advance(position: Position): void {
    this.#position = this.#position
      ? laterPosition(this.#position, position)
      : position;
  }

  /** Replaces the position after one was discarded by a failover. */
  replacePosition(position: Position): void {
    this.#position = position;
  }

  /** Notes the end of a statement. */
  touch(now: number): void {
    this.#lastStatementAt = now;
  }

  /** Takes a setting of the caller for the proxy. */
  set(setting: Pick<ProxySetting, "name" | "value">): Result<void, Failure> {
    if (setting.name === "session") this.name = setting.value || undefined;
    if (setting.name === "kind") this.kind = setting.value || undefined;
    if (setting.name === "request") return this.#setRequest(setting.value);
    if (setting.name === "position") return this.#setPosition(setting.value);
    return ok(undefined);
  }

  /** The value of a setting for SHOW; undefined for an unknown name. */
  show(name: string): string | undefined {
    if (name === "position") return this.positionText();
    if (name === "session") return this.name ?? "";
    if (name === "kind") return this.kind ?? "";
    if (name === "request") return this.requestId ?? "";
    return undefined;
  }

  /** Whether the caller's own settings make an instance refuse its writes. */
  get forbidsWrites(): boolean {
    return this.settings.has("default_transaction_read_only");
  }

  /** Takes a setting that is replayed on the connections that run later statements. */
  replay(setting: ReplayedSetting): void {
    if (setting.name === "all") return this.settings.clear();
    if (setting.text === undefined) {
      this.settings.delete(setting.name);
      return;
    }
    this.settings.set(setting.name, setting.text);
  }

  #setRequest(value: string): Result<void, Failure> {
    if (value !== "" && !isRequestId(value)) {
      return err(badRequestId(value));
    }
    this.requestId = value || undefined;
    return ok(undefined);
  }

  #setPosition(value: string): Result<void, Failure> {
    if (value === "") return ok(undefined);
    const position = parsePosition(value);
    if (!position) {
      return err(createFailure(
        ResultCodes.POSITION_INVALID,
        `marjoramshed.position: expected term/position, found ${
          JSON.stringify(value)
        }`,
      ));
    }
    this.advance(position);
    // The caller vouches for the position until its next statement has ended.
    this.touch(Infinity);
    return ok(undefined);
  }
}

/** Whether a text may be a request id. */
export function isRequestId(text: string): boolean {
  return REQUEST_ID.test(text);
}

/** The failure for a request id of a wrong form. */
export function badRequestId(value: string): Failure {
  return createFailure(
    ResultCodes.REQUEST_ID_INVALID,
    `expected 1 to 200 printable characters without spaces as request id, found ${
      JSON.stringify(value.slice(0, 40))
    }`,
  );
}

/** The statements that bring a connection's settings to those of a session; undefined when they are the same. */
export function createSettingsPrelude(
  wanted: ReadonlyMap<string, string>,
  present: ReadonlyMap<string, string>,
): string | undefined {
  const same = wanted.size === present.size &&
    [...wanted].every(([name, text]) => present.get(name) === text);
  if (same) return undefined;
  const reset = present.size > 0 ? ["RESET ALL"] : [];
  return [...reset, ...wanted.values()].join("; ");
}
