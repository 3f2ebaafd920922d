/**
 * Applies a caller's startup parameters to its session.
 *
 * @module
 */
import pg from "pg";
import type { Failure } from "../../kernel/result_codes.ts";
import type { ProxySetting } from "../classification/classification.ts";
import type { SessionState } from "./session_state.ts";

const PREFIX = "marjoramshed.";
const PROXY_SETTINGS: readonly string[] = [
  "request",
  "position",
  "kind",
  "session",
];
/** Parameters that are not settings of an upstream connection, or that already have the only value that callers may ask for. */
const NOT_REPLAYED: ReadonlySet<string> = new Set([
  "user",
  "database",
  "replication",
  "application_name",
  "client_encoding",
]);

/** Applies the parameters to the state; returns the failure of the first invalid one. */
export function applyStartupParameters(
  parameters: ReadonlyMap<string, string>,
  state: SessionState,
): Failure | undefined {
  state.name = parameters.get("application_name") || undefined;
  for (const [name, value] of parameters) {
    if (NOT_REPLAYED.has(name)) continue;
    if (!name.startsWith(PREFIX)) {
      const setting = name.toLowerCase();
      state.addStartupSetting(setting, createSetting(setting, value));
      continue;
    }
    const settingName = name.slice(PREFIX.length);
    if (!PROXY_SETTINGS.includes(settingName)) continue;
    const set = state.set({ name: settingName as ProxySetting["name"], value });
    if (set.isErr()) return set.error;
  }
  return undefined;
}

/** The statement for a startup parameter. SET would take a list such as that of search_path for one item. */
function createSetting(name: string, value: string): string {
  const values = [name, value].map((item) => pg.escapeLiteral(item));
  return `SELECT pg_catalog.set_config(${values.join(", ")}, false)`;
}
