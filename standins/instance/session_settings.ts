/**
 * Session settings of connections. The engine has a single session, so the settings
 * of a connection are applied before its transaction and read back after it.
 *
 * @module
 */
import { type Engine, quoteLiteral } from "./engine.ts";

/** Values by name of the settings that differ from the defaults. */
export type SessionSettings = ReadonlyMap<string, string>;

/** Settings of a session that has only defaults; compared by identity. */
export const NO_SETTINGS: SessionSettings = new Map();

const EXCLUDED_SETTINGS = [
  "default_transaction_read_only",
  "transaction_read_only",
  "transaction_isolation",
  "transaction_deferrable",
  "session_replication_role",
];

/** Resets the engine's session and applies these settings. */
export function applySettings(
  engine: Engine,
  settings: SessionSettings,
  readOnly: boolean,
): void {
  const setConfigCalls = [...settings].map(([name, value]) =>
    `SELECT set_config(${quoteLiteral(name)}, ${quoteLiteral(value)}, false)`
  );
  engine.query([
    "RESET ALL",
    ...setConfigCalls,
    `SET default_transaction_read_only = ${readOnly ? "on" : "off"}`,
  ].join(";"));
}

/** Reads the current settings; `customNames` are prefixed settings, which pg_settings does not list. */
export function readSettings(
  engine: Engine,
  customNames: ReadonlySet<string>,
): SessionSettings {
  const excludedNames = EXCLUDED_SETTINGS.map(quoteLiteral).join(", ");
  const customSelects = [...customNames].map((name) =>
    `UNION ALL SELECT ${quoteLiteral(name)},
     current_setting(${quoteLiteral(name)}, true)`
  );
  const rows = engine.query(`
    SELECT name, setting FROM pg_settings
    WHERE source = 'session' AND name NOT IN (${excludedNames})
    ${customSelects.join("\n")}`);
  const settings = new Map(
    rows.filter(([, value]) => value !== null)
      .map(([name, value]) => [name!, value!]),
  );
  return settings.size === 0 ? NO_SETTINGS : settings;
}
