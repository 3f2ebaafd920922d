/**
 * State of a caller's session that the proxy keeps between statements.
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
 * Time after its last statement for which a named session's position is valid.
 * Later, the session may have written through another proxy; connecting there
 * and verifying the password takes longer than this.
 */
export const SESSION_RECHECK_MS = 10;

/** Parameters of the startup packet that `RESET ALL` leaves as they are. */
const KEPT_BY_RESET_ALL: readonly string[] = ["session_authorization", "role"];

const REQUEST_ID = /^[\x21-\x7e]{1,200}$/;

/** Position, settings, prepared statements and next request id of one caller's connection. */
export class SessionState {
  /** Session name given by the caller; a named session may use several connections. */
  name: string | undefined;
  /** Read kind set by the caller, which determines the maximum age of reads. */
  kind: string | undefined;
  /** Request id for the next write or transaction, set with `SET marjoramshed.request`. */
  requestId: string | undefined;
  readonly statements = new Map<string, PreparedStatement>();
  readonly settings = new Map<string, string>();
  readonly #startupSettings = new Map<string, string>();
  /** Time of the last acknowledged write on this connection, in monotonic ms. */
  lastWriteAt = -Infinity;
  #position: Position | undefined;
  #lastStatementAt = -Infinity;

  /** The session's position; undefined if there is none or another proxy may have a later one. `now` is in monotonic ms. */
  position(now: number): Position | undefined {
    const outdated = this.name !== undefined &&
      now - this.#lastStatementAt > SESSION_RECHECK_MS;
    return outdated ? undefined : this.#position;
  }

  /** Last position that this connection has seen, even if it may be outdated. */
  get lastPosition(): Position | undefined {
    return this.#position;
  }

  /** Last position as text; empty if there is none. */
  positionText(): string {
    return this.#position ? formatPosition(this.#position) : "";
  }

  /** Advances the position to one that the session has seen; a later position is kept. */
  advance(position: Position): void {
    this.#position = this.#position
      ? laterPosition(this.#position, position)
      : position;
  }

  /** Replaces the position, also with an earlier one, after a failover has discarded it. */
  replacePosition(position: Position): void {
    this.#position = position;
  }

  /** Records the end of a statement; `now` is in monotonic ms. */
  touch(now: number): void {
    this.#lastStatementAt = now;
  }

  /** Applies a setting that the caller makes for the proxy; fails if its value is invalid. */
  set(setting: Pick<ProxySetting, "name" | "value">): Result<void, Failure> {
    if (setting.name === "session") this.name = setting.value || undefined;
    if (setting.name === "kind") this.kind = setting.value || undefined;
    if (setting.name === "request") return this.#setRequest(setting.value);
    if (setting.name === "position") return this.#setPosition(setting.value);
    return ok(undefined);
  }

  /** Value of a proxy setting for SHOW; undefined for an unknown name. */
  show(name: string): string | undefined {
    if (name === "position") return this.positionText();
    if (name === "session") return this.name ?? "";
    if (name === "kind") return this.kind ?? "";
    if (name === "request") return this.requestId ?? "";
    return undefined;
  }

  /** Whether the caller's own settings may make the primary refuse its writes. */
  get forbidsWrites(): boolean {
    return this.settings.has("default_transaction_read_only");
  }

  /** Records a setting to replay on the connections that run later statements. */
  replay(setting: ReplayedSetting): void {
    replaySetting(this.settings, setting);
    if (setting.text !== undefined) return;
    for (const [name, text] of this.#startupSettings) {
      if (setting.name !== "all" && setting.name !== name) continue;
      if (!this.settings.has(name)) this.settings.set(name, text);
    }
  }

  /** Records a setting of the startup packet, which a RESET returns to. */
  addStartupSetting(name: string, text: string): void {
    this.#startupSettings.set(name, text);
    this.settings.set(name, text);
  }

  /** Returns all settings to those of the startup packet, as DISCARD ALL does. */
  discardSettings(): void {
    this.settings.clear();
    for (const [name, text] of this.#startupSettings) {
      this.settings.set(name, text);
    }
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
    // The caller guarantees that the position is current, so it does not become outdated before the next `touch`: at the end of this SET or, at startup, of the first statement.
    this.touch(Infinity);
    return ok(undefined);
  }
}

/** Whether a text is a valid request id. */
export function isRequestId(text: string): boolean {
  return REQUEST_ID.test(text);
}

/** The failure for an invalid request id. */
export function badRequestId(value: string): Failure {
  return createFailure(
    ResultCodes.REQUEST_ID_INVALID,
    `expected 1 to 200 printable characters without spaces as request id, found ${
      JSON.stringify(value.slice(0, 40))
    }`,
  );
}

/** Applies a `SET` or `RESET` to a record of settings. */
export function replaySetting(
  settings: Map<string, string>,
  { name, text }: ReplayedSetting,
): void {
  if (text !== undefined) return void settings.set(name, text);
  if (name !== "all") return void settings.delete(name);
  for (const present of settings.keys()) {
    if (!KEPT_BY_RESET_ALL.includes(present)) settings.delete(present);
  }
}

/** The statements that make a connection's settings equal to those of a session; undefined if they already are. */
export function createSettingsPrelude(
  wanted: ReadonlyMap<string, string>,
  present: ReadonlyMap<string, string>,
): string | undefined {
  const same = wanted.size === present.size &&
    [...wanted].every(([name, text]) => present.get(name) === text);
  if (same) return undefined;
  const kept = KEPT_BY_RESET_ALL.filter((name) => present.has(name));
  const reset = present.size > 0
    ? ["RESET ALL", ...kept.map((name) => `RESET ${name}`)]
    : [];
  return [...reset, ...wanted.values()].join("; ");
}
