/**
 * Settings that connections make with SET. The engine has one session, so the
 * settings of a connection are put in force before its work and read after it.
 *
 * @module
 */
import { type Engine, quoteLiteral } from "./engine.ts";

/** Names and values that differ from the defaults. */
export type SessionSettings = ReadonlyMap<string, string>;

/** A session without settings of its own; one object, compared by identity. */
export const NO_SETTINGS: SessionSettings = new Map();

const OWN_SETTINGS = [
  "default_transaction_read_only",
  "transaction_read_only",
  "transaction_isolation",
  "transaction_deferrable",
  "session_replication_role",
];

/** Puts settings in force in place of all others. */
export function applySettings(
  engine: Engine,
  settings: SessionSettings,
  readOnly: boolean,
): void {
  const calls = [...settings].map(([name, value]) =>
    `SELECT set_config(${quoteLiteral(name)}, ${quoteLiteral(value)}, false)`
  );
  engine.query([
    "RESET ALL",
    ...calls,
    `SET default_transaction_read_only = ${readOnly ? "on" : "off"}`,
  ].join(";"));
}

/** Reads the settings in force; `custom` names those with a prefix, which no catalogue lists. */
export function readSettings(
  engine: Engine,
  custom: ReadonlySet<string>,
): SessionSettings {
  const skipped = OWN_SETTINGS.map(quoteLiteral).join(", ");
  const customRows = [...custom].map((name) =>
    `UNION ALL SELECT ${quoteLiteral(name)},
     current_setting(${quoteLiteral(name)}, true)`
  );
  const rows = engine.query(`
    SELECT name, setting FROM pg_settings
    WHERE source = 'session' AND name NOT IN (${skipped})
    ${customRows.join("\n")}`);
  const settings = new Map(
    rows.filter(([, value]) => value !== null)
      .map(([name, value]) => [name!, value!]),
  );
  return settings.size === 0 ? NO_SETTINGS : settings;
}
