/**
 * The leading comments of a text: `marjoramshed key=value …` in a block or a
 * line comment before the first statement.
 *
 * @module
 */
import { parsePosition, type Position } from "../upstream/position.ts";

/** What the leading comments of a text say, and where the text after them begins. */
export interface LeadingComment {
  readonly end: number;
  readonly requestId?: string;
  readonly position?: Position;
  readonly kind?: string;
}

const WHITESPACE = /[ \t\r\n\f\v]*/y;
const LINE_END = /[\r\n]/g;
const BLOCK_COMMENT_DELIMITER = /\/\*|\*\//g;
const PROXY_COMMENT = /^[\s*]*marjoramshed\s/;
const KEY_VALUE_PAIR = /(?:^|\s)(request|position|kind)=([^\s*]+)/g;

/** Reads the leading comments; of a key that is given twice, the last one counts. */
export function readLeadingComment(text: string): LeadingComment {
  const values = new Map<string, string>();
  let end = skipWhitespace(text, 0);
  for (;;) {
    const next = commentEnd(text, end);
    if (next === undefined) break;
    readPairs(text.slice(end + 2, next), values);
    end = skipWhitespace(text, next);
  }
  const position = values.get("position");
  return {
    end,
    requestId: values.get("request"),
    position: position === undefined ? undefined : parsePosition(position),
    kind: values.get("kind"),
  };
}

function skipWhitespace(text: string, from: number): number {
  WHITESPACE.lastIndex = from;
  WHITESPACE.exec(text);
  return WHITESPACE.lastIndex;
}

function commentEnd(text: string, from: number): number | undefined {
  if (text.startsWith("--", from)) return lineCommentEnd(text, from);
  if (text.startsWith("/*", from)) return blockCommentEnd(text, from);
  return undefined;
}

function lineCommentEnd(text: string, from: number): number {
  LINE_END.lastIndex = from;
  return LINE_END.exec(text)?.index ?? text.length;
}

/** Block comments nest in this grammar; one without an end is left to the parser to refuse. */
function blockCommentEnd(text: string, from: number): number | undefined {
  let depth = 0;
  BLOCK_COMMENT_DELIMITER.lastIndex = from;
  for (;;) {
    const edge = BLOCK_COMMENT_DELIMITER.exec(text);
    if (!edge) return undefined;
    depth += edge[0] === "/*" ? 1 : -1;
    if (depth === 0) return BLOCK_COMMENT_DELIMITER.lastIndex;
  }
}

function readPairs(comment: string, values: Map<string, string>): void {
  if (!PROXY_COMMENT.test(comment)) return;
  for (const [, key, value] of comment.matchAll(KEY_VALUE_PAIR)) {
    values.set(key!, value!);
  }
}
