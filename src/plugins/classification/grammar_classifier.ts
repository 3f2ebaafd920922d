/**
 * Classifies texts with PostgreSQL's own parser, through `libpg-query`.
 *
 * @module
 */
import { loadModule, parseSync } from "libpg-query";
import { LRUCache } from "lru-cache";
import type { Service } from "../../kernel/kernel.ts";
import type { Classification, Classifier, Effect } from "./classification.ts";
import { readLeadingComment } from "./leading_comment.ts";
import {
  type StatementSummary,
  summarizeStatement,
} from "./statement_summary.ts";
import type { ParseNode } from "./statement_scan.ts";

const CACHE_MAX_TEXTS = 20_000;
const CACHE_MAX_BYTES = 16 * 1024 * 1024;
const CACHED_TEXT_MAX_CHARS = 16 * 1024;
const PARSED_TEXT_MAX_CHARS = 512 * 1024;

/** Size of a cache entry without its text, in bytes. */
const ENTRY_BYTES = 400;

const EMPTY_CLASSIFICATION: Classification = Object.freeze({
  effect: "control",
  statementCount: 0,
  mixedTransaction: false,
  discardsState: false,
  unsupported: false,
  tables: Object.freeze([]),
});

/** A text with a syntax error; it goes to the primary, which answers with its own error. */
const UNPARSABLE_CLASSIFICATION: Classification = Object.freeze({
  ...EMPTY_CLASSIFICATION,
  effect: "write",
  statementCount: 1,
});

/** A text that is too large or too deeply nested to parse, so that it may contain any statement. */
const UNANALYZED_CLASSIFICATION: Classification = Object.freeze({
  ...UNPARSABLE_CLASSIFICATION,
  mixedTransaction: true,
  sessionState: "pinned",
});

interface RawStatement {
  readonly stmt?: unknown;
  readonly stmt_location?: number;
  readonly stmt_len?: number;
}

/** Classifier with a bounded cache, keyed by the text without its leading comments. */
export class GrammarClassifier implements Classifier, Service {
  readonly #cache = new LRUCache<string, Classification>({
    max: CACHE_MAX_TEXTS,
    maxSize: CACHE_MAX_BYTES,
    sizeCalculation: (_value, text) => 2 * text.length + ENTRY_BYTES,
  });

  /** Loads the parser, which `classify` needs. */
  async start(): Promise<void> {
    await loadModule();
  }

  classify(text: string): Classification {
    const cached = this.#cache.get(text);
    if (cached) return cached;
    const { end, ...comment } = readLeadingComment(text);
    const body = end === 0 ? text : text.slice(end);
    const classification = this.#classifyBody(body);
    const { requestId, position, kind } = comment;
    if (!requestId && !position && !kind) return classification;
    return { ...classification, ...comment };
  }

  #classifyBody(body: string): Classification {
    const cached = this.#cache.get(body);
    if (cached) return cached;
    const classification = classifyText(body);
    if (body.length <= CACHED_TEXT_MAX_CHARS) {
      this.#cache.set(body, classification);
    }
    return classification;
  }
}

function classifyText(text: string): Classification {
  if (text.length === 0) return EMPTY_CLASSIFICATION;
  if (text.length > PARSED_TEXT_MAX_CHARS) return UNANALYZED_CLASSIFICATION;
  try {
    const statements = parseSync(text).stmts as readonly RawStatement[];
    const bytes = statements.length > 1 ? Buffer.from(text) : undefined;
    return combineSummaries(statements.map((raw) =>
      summarizeStatement(
        raw.stmt as ParseNode,
        bytes ? sliceStatement(bytes, raw) : text.trim(),
      )
    ));
  } catch (error) {
    // A RangeError means that the parse tree is too deep for the call stack.
    return error instanceof RangeError
      ? UNANALYZED_CLASSIFICATION
      : UNPARSABLE_CLASSIFICATION;
  }
}

/** Cuts one statement out of a text; the parser gives locations in UTF-8 bytes. */
function sliceStatement(bytes: Buffer, raw: RawStatement): string {
  const from = raw.stmt_location ?? 0;
  const to = raw.stmt_len ? from + raw.stmt_len : bytes.length;
  return bytes.toString("utf8", from, to).trim();
}

function combineSummaries(
  summaries: readonly StatementSummary[],
): Classification {
  if (summaries.length === 0) return EMPTY_CLASSIFICATION;
  const single = summaries.length === 1 ? summaries[0]! : undefined;
  const sessionState = combineSessionState(summaries);
  return Object.freeze({
    effect: sessionState === "pinned"
      ? "write"
      : strongestEffect(summaries.map((part) => part.effect)),
    statementCount: summaries.length,
    transaction: single?.transaction,
    mixedTransaction: !single &&
      summaries.some((part) => part.transactionControl),
    sessionState,
    replayed: single?.replayed,
    proxySetting: single?.proxySetting,
    shownSetting: single?.shownSetting,
    discardsState: summaries.some((part) => part.discardsState === true),
    resetsSettings: summaries.some((part) => part.resetsSettings === true),
    deallocatedStatement: single?.deallocatedStatement,
    unsupported: summaries.some((part) => part.unsupported === true),
    tables: [...new Set(summaries.flatMap((part) => part.tables ?? []))],
  });
}

function strongestEffect(effects: readonly Effect[]): Effect {
  if (effects.includes("write")) return "write";
  return effects.includes("read") ? "read" : "control";
}

/** Combines the session state of all statements; a setting among other statements can't be replayed alone, so the connection is pinned. */
function combineSessionState(
  summaries: readonly StatementSummary[],
): Classification["sessionState"] {
  if (summaries.length === 1) return summaries[0]!.sessionState;
  const stateful = summaries.some((part) =>
    part.sessionState !== undefined || part.proxySetting !== undefined ||
    part.deallocatedStatement !== undefined
  );
  return stateful ? "pinned" : undefined;
}
