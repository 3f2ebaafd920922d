/**
 * Inspection of SQL text before the engine runs it: finds features that cannot be
 * isolated between connections on the engine's single session, and features that
 * the engine does not support.
 *
 * @module
 */
import { parseSync } from "libpg-query";

const UNSUPPORTED_HINT =
  /\b(copy|prepare|execute|deallocate|discard|listen|unlisten|hold|currval|lastval|pg_(try_)?advisory_\w+|session_replication_role|session\s+characteristics|(default_)?transaction_read_only|read\s+write|(create|alter|drop)\s+(role|user|group|database|tablespace|system))\b/i;
const SCHEMA_CHANGE_KEYWORD =
  /\b(create|alter|drop|comment|grant|revoke|reindex|refresh|security|into)\b/i;
const SEQUENCE_CHANGE = /\b(nextval|setval)\s*\(/i;
const SETTING_CHANGE = /(?:^|;)\s*(?:set|reset)\b|\bset_config\s*\(/i;
const CUSTOM_SETTING_CHANGE =
  /\bset(?:_config\s*\(\s*'|\s+(?:session\s+)?)([a-z_][\w$]*\.[a-z_][\w$]*)/gi;
const SLEEP_CALL = /\bpg_sleep\s*\(\s*'?(\d+(?:\.\d+)?)/i;
const LEADING_COMMENTS = /^(?:\s+|--[^\n]*\n|\/\*[\s\S]*?\*\/)*/;

/** SQL text and the handling that it needs besides execution. */
export interface Statement {
  readonly text: string;
  /** Why the text is rejected with SQLSTATE 0A000; undefined when it is supported. */
  readonly unsupportedReason?: string;
  /** Whether the text requests a READ WRITE transaction. */
  readonly requestsReadWrite: boolean;
  /** Whether the text may change sequences without changing rows. */
  readonly changesSequence: boolean;
  /** Whether the text may change session settings. */
  readonly changesSettings: boolean;
  /** Names of the prefixed settings that the text sets. */
  readonly customSettings: readonly string[];
  /** Time to sleep in place of pg_sleep. */
  readonly sleepMs: number;
  /** Whether the text deallocates all prepared statements of the connection. */
  readonly deallocatesAll: boolean;
  /** Whether the text also resets all settings, as DISCARD ALL does. */
  readonly resetsAll: boolean;
}

/** Inspects the text of a query. */
export function inspectStatement(text: string): Statement {
  const keyword = firstKeyword(text);
  const withoutLeadingComments = text.replace(LEADING_COMMENTS, "");
  const deallocatesAll = /^(discard|deallocate)\s+all\b/i.test(
    withoutLeadingComments,
  );
  const resetsAll = /^discard\s+all\b/i.test(withoutLeadingComments);
  return {
    text,
    unsupportedReason: deallocatesAll
      ? undefined
      : findUnsupportedReason(text, keyword),
    requestsReadWrite: /\bread\s+write\b/i.test(text),
    changesSequence: SEQUENCE_CHANGE.test(text),
    changesSettings: SETTING_CHANGE.test(withoutLeadingComments) ||
      resetsAll,
    customSettings: [...text.matchAll(CUSTOM_SETTING_CHANGE)].map(([, name]) =>
      name!
    ),
    sleepMs: Number(SLEEP_CALL.exec(text)?.[1] ?? 0) * 1_000,
    deallocatesAll,
    resetsAll,
  };
}

/** Splits a text that combines a schema change with other statements; undefined when it can run as a whole. */
export function splitSchemaChanges(
  text: string,
): readonly string[] | undefined {
  const semicolon = text.indexOf(";");
  if (semicolon < 0 || text.slice(semicolon + 1).trim() === "") {
    return undefined;
  }
  if (!SCHEMA_CHANGE_KEYWORD.test(text)) return undefined;
  const statements = splitStatements(text);
  return statements.length > 1 ? statements : undefined;
}

function findUnsupportedReason(
  text: string,
  keyword: string,
): string | undefined {
  if (!UNSUPPORTED_HINT.test(text)) return undefined;
  for (const statement of splitStatements(text)) {
    const reason = findUnsupportedInStatement(
      statement,
      firstKeyword(statement) || keyword,
    );
    if (reason) return reason;
  }
  return undefined;
}

function findUnsupportedInStatement(
  text: string,
  keyword: string,
): string | undefined {
  const statementKeywords = ["prepare", "execute", "deallocate", "discard"];
  if ([...statementKeywords, "listen", "unlisten"].includes(keyword)) {
    return `${keyword.toUpperCase()} is not supported`;
  }
  if (SHARED_OBJECT.test(text.replace(LEADING_COMMENTS, ""))) {
    return "objects outside the database are not supported";
  }
  if (keyword === "copy" && /\bfrom\b/i.test(text)) {
    return "COPY FROM is not supported";
  }
  if (keyword === "declare" && /\bwith\s+hold\b/i.test(text)) {
    return "cursors WITH HOLD are not supported";
  }
  if (/\b(pg_(try_)?advisory_(?!xact|unlock)\w+)\s*\(/i.test(text)) {
    return "advisory locks of a session are not supported";
  }
  if (/\b(currval|lastval)\s*\(/i.test(text)) {
    return "values of sequences of a session are not supported";
  }
  if (/^(set|reset|alter)$/.test(keyword) && INSTANCE_SETTING.test(text)) {
    return "this setting belongs to the instance";
  }
  return undefined;
}

// These statements fire no event trigger, so change capture would not replicate them.
const SHARED_OBJECT =
  /^(create|alter|drop)\s+(role|user|group|database|tablespace|system)\b/i;

const INSTANCE_SETTING =
  /session_replication_role|session\s+characteristics|transaction_read_only/i;

function firstKeyword(text: string): string {
  const rest = text.replace(LEADING_COMMENTS, "");
  return /^[a-z]+/i.exec(rest)?.[0].toLowerCase() ?? "";
}

function splitStatements(text: string): readonly string[] {
  if (!text.includes(";")) return [text];
  try {
    const bytes = Buffer.from(text);
    return (parseSync(text).stmts ?? []).map((statement) => {
      const start = statement.stmt_location ?? 0;
      const length = statement.stmt_len ?? bytes.length - start;
      return bytes.toString("utf8", start, start + length);
    });
  } catch {
    return [text];
  }
}
