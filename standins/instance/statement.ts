/**
 * What the instance reads off a text before the engine runs it: what can't be
 * kept apart on the engine's one session, and what the engine itself can't do.
 *
 * @module
 */
import { parseSync } from "libpg-query";

const SUSPECT =
  /\b(copy|prepare|execute|deallocate|discard|listen|unlisten|hold|currval|lastval|pg_(try_)?advisory_\w+|session_replication_role|session\s+characteristics|(default_)?transaction_read_only|read\s+write|(create|alter|drop)\s+(role|user|group|database|tablespace|system))\b/i;
const SCHEMA_WORD =
  /\b(create|alter|drop|comment|grant|revoke|reindex|refresh|security|into)\b/i;
const SEQUENCE = /\b(nextval|setval)\s*\(/i;
const SETTING = /(?:^|;)\s*(?:set|reset)\b|\bset_config\s*\(/i;
const CUSTOM_SETTING =
  /\bset(?:_config\s*\(\s*'|\s+(?:session\s+)?)([a-z_][\w$]*\.[a-z_][\w$]*)/gi;
const SLEEP = /\bpg_sleep\s*\(\s*'?(\d+(?:\.\d+)?)/i;
const COMMENTS = /^(?:\s+|--[^\n]*\n|\/\*[\s\S]*?\*\/)*/;

/** What a text may need besides running it. */
export interface Statement {
  readonly text: string;
  /** Why it is refused with 0A000. */
  readonly unsupported?: string;
  /** Whether it asks for a writing transaction by name. */
  readonly readWrite: boolean;
  /** Whether it may change sequences without changing rows. */
  readonly changesSequence: boolean;
  /** Whether it may change settings of the session. */
  readonly changesSettings: boolean;
  readonly customSettings: readonly string[];
  /** Time to wait in place of pg_sleep, in ms. */
  readonly sleep: number;
  /** Whether all of the connection's prepared statements go. */
  readonly deallocatesAll: boolean;
}

/** Inspects one text. */
export function inspectStatement(text: string): Statement {
  const word = firstWord(text);
  const bare = text.replace(COMMENTS, "");
  const all = /^(discard|deallocate)\s+all\b/i.test(bare);
  return {
    text,
    unsupported: all ? undefined : findUnsupported(text, word),
    readWrite: /\bread\s+write\b/i.test(text),
    changesSequence: SEQUENCE.test(text),
    changesSettings: SETTING.test(bare) || all,
    customSettings: [...text.matchAll(CUSTOM_SETTING)].map(([, name]) => name!),
    sleep: Number(SLEEP.exec(text)?.[1] ?? 0) * 1_000,
    deallocatesAll: all,
  };
}

/** Statements of a text that mixes schema changes with others; undefined where it may run whole. */
export function splitSchemaChanges(
  text: string,
): readonly string[] | undefined {
  const semicolon = text.indexOf(";");
  if (semicolon < 0 || text.slice(semicolon + 1).trim() === "") {
    return undefined;
  }
  if (!SCHEMA_WORD.test(text)) return undefined;
  const parts = splitText(text);
  return parts.length > 1 ? parts : undefined;
}

function findUnsupported(text: string, word: string): string | undefined {
  if (!SUSPECT.test(text)) return undefined;
  for (const part of splitText(text)) {
    const reason = findUnsupportedPart(part, firstWord(part) || word);
    if (reason) return reason;
  }
  return undefined;
}

function findUnsupportedPart(text: string, word: string): string | undefined {
  const words = ["prepare", "execute", "deallocate", "discard"];
  if ([...words, "listen", "unlisten"].includes(word)) {
    return `${word.toUpperCase()} is not supported`;
  }
  if (SHARED_OBJECT.test(text.replace(COMMENTS, ""))) {
    return "objects outside the database are not supported";
  }
  if (word === "copy" && /\bfrom\b/i.test(text)) {
    return "COPY FROM is not supported";
  }
  if (word === "declare" && /\bwith\s+hold\b/i.test(text)) {
    return "cursors WITH HOLD are not supported";
  }
  if (/\b(pg_(try_)?advisory_(?!xact|unlock)\w+)\s*\(/i.test(text)) {
    return "advisory locks of a session are not supported";
  }
  if (/\b(currval|lastval)\s*\(/i.test(text)) {
    return "values of sequences of a session are not supported";
  }
  if (/^(set|reset|alter)$/.test(word) && REPLICATION_SETTING.test(text)) {
    return "this setting belongs to the instance";
  }
  return undefined;
}

// These raise no event for the capture, so replicas would not learn of them.
const SHARED_OBJECT =
  /^(create|alter|drop)\s+(role|user|group|database|tablespace|system)\b/i;

const REPLICATION_SETTING =
  /session_replication_role|session\s+characteristics|transaction_read_only/i;

function firstWord(text: string): string {
  const rest = text.replace(COMMENTS, "");
  return /^[a-z]+/i.exec(rest)?.[0].toLowerCase() ?? "";
}

function splitText(text: string): readonly string[] {
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
