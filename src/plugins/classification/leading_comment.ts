/**
 * Reads `marjoramshed key=value …` from the block and line comments before the
 * first statement of a text.
 *
 * @module
 */
import { parsePosition, type Position } from "../upstream/position.ts";

/** Values from the leading comments of a text. */
export interface LeadingComment {
  /** Index of the first character after the leading comments. */
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

/** Reads the leading comments; the last value of a repeated key counts. */
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

/** The end of a block comment, which may be nested; undefined for an unterminated one, which the parser then rejects. */
function blockCommentEnd(text: string, from: number): number | undefined {
  let depth = 0;
  BLOCK_COMMENT_DELIMITER.lastIndex = from;
  for (;;) {
    const delimiter = BLOCK_COMMENT_DELIMITER.exec(text);
    if (!delimiter) return undefined;
    depth += delimiter[0] === "/*" ? 1 : -1;
    if (depth === 0) return BLOCK_COMMENT_DELIMITER.lastIndex;
  }
}

function readPairs(comment: string, values: Map<string, string>): void {
  if (!PROXY_COMMENT.test(comment)) return;
  for (const [, key, value] of comment.matchAll(KEY_VALUE_PAIR)) {
    values.set(key!, value!);
  }
}
