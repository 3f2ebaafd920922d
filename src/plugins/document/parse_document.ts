/**
 * Parses the configuration document from YAML and validates it. Each problem
 * has the line, the path, the expected value and the value that was found.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import {
  type Document as YamlDocument,
  isNode,
  LineCounter,
  parseDocument as parseYaml,
} from "yaml";
import type { z } from "zod";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import { type Document, documentSchema } from "./document.ts";
import { nearestName } from "./nearest_name.ts";
import { knownKeys } from "./schema_keys.ts";

/** Maximum length of a document, in characters. */
export const MAX_DOCUMENT_CHARACTERS = 1_000_000;

const MAX_SHOWN_PROBLEMS = 20;
const MAX_FOUND_CHARACTERS = 60;

/** A validation error in a document. */
export interface Problem {
  /** Path such as `environments.trial.groups[0].reads`; empty for the whole document. */
  readonly path: string;
  readonly expected: string;
  readonly found: string;
  /** Line number, starting at 1; 0 when unknown. */
  readonly line: number;
  readonly hint?: string;
}

/** Parses and validates a document. Fails with DOCUMENT_INVALID, whose message lists the problems. */
export function parseDocument(text: string): Result<Document, Failure> {
  const validated = validateDocument(text);
  if (validated.isOk()) return ok(validated.value);
  const shown = validated.error.slice(0, MAX_SHOWN_PROBLEMS).map(formatProblem);
  const omitted = validated.error.length - shown.length;
  if (omitted > 0) shown.push(`and ${omitted} more`);
  const hint = validated.error.find((problem) => problem.hint)?.hint;
  return err(createFailure(
    ResultCodes.DOCUMENT_INVALID,
    shown.join("\n"),
    hint === undefined ? {} : { hint },
  ));
}

/** Parses and validates a document; fails with the list of problems. */
export function validateDocument(text: string): Result<Document, Problem[]> {
  if (text.length > MAX_DOCUMENT_CHARACTERS) {
    return err([{
      path: "",
      expected: `at most ${MAX_DOCUMENT_CHARACTERS} characters`,
      found: String(text.length),
      line: 0,
    }]);
  }
  const lines = new LineCounter();
  const yaml = parseYaml(text, { lineCounter: lines });
  if (yaml.errors.length > 0) {
    return err(yaml.errors.map((error) => ({
      path: "",
      expected: "YAML",
      found: error.message.split("\n")[0] ?? error.code,
      line: lines.linePos(error.pos[0]).line,
    })));
  }
  const value = toPlainValue(yaml);
  if (value.isErr()) return err([value.error]);
  const parsed = documentSchema.safeParse(value.value);
  if (parsed.success) return ok(parsed.data);
  const locate = (path: readonly PropertyKey[]) => lineOf(yaml, lines, path);
  return err(
    parsed.error.issues.flatMap((issue) =>
      describeIssue(issue, value.value, locate)
    ),
  );
}

/** Formats a problem as one line of text. */
export function formatProblem(problem: Problem): string {
  const location = problem.line > 0 ? `line ${problem.line}: ` : "";
  const path = problem.path === "" ? "document" : problem.path;
  const hint = problem.hint ? `; ${problem.hint}` : "";
  return `${location}${path}: expected ${problem.expected}, found ${problem.found}${hint}`;
}

/** Formats a path such as `groups[0].reads`. */
export function formatPath(path: readonly PropertyKey[]): string {
  return path.reduce<string>((text, key) => {
    if (typeof key === "number") return `${text}[${key}]`;
    return text === "" ? String(key) : `${text}.${String(key)}`;
  }, "");
}

/** Converts to plain values with aliases resolved; the library rejects excessive alias expansion. */
function toPlainValue(yaml: YamlDocument): Result<unknown, Problem> {
  try {
    return ok(yaml.toJS());
  } catch (error) {
    const found = error instanceof Error ? error.message : String(error);
    return err({ path: "", expected: "YAML", found, line: 0 });
  }
}

function describeIssue(
  issue: z.core.$ZodIssue,
  value: unknown,
  locate: (path: readonly PropertyKey[]) => number,
): Problem[] {
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) => {
      const path = [...issue.path, key];
      return describeUnknownKey(path, locate(path));
    });
  }
  return [{
    path: formatPath(issue.path),
    expected: describeExpectation(issue),
    found: describeValue(valueAt(value, issue.path)),
    line: locate(issue.path),
  }];
}

function describeUnknownKey(
  path: readonly PropertyKey[],
  line: number,
): Problem {
  const known = knownKeys(documentSchema, path.slice(0, -1));
  const suggestion = nearestName(String(path.at(-1)), known);
  return {
    path: formatPath(path),
    expected: `one of the keys ${known.join(", ")}`,
    found: `the unknown key ${String(path.at(-1))}`,
    line,
    hint: suggestion && `did you mean ${suggestion}?`,
  };
}

function describeExpectation(issue: z.core.$ZodIssue): string {
  if (issue.code === "invalid_union") return "an IP number";
  return issue.message
    .replace(/^(Invalid input|Invalid option|Invalid string): /, "")
    .replace(/, received .*$/, "")
    .replace(/, found .* again$/, "")
    .replace(/^Too (small|big): /, "")
    .replace(/^expected /, "");
}

function valueAt(value: unknown, path: readonly PropertyKey[]): unknown {
  let current = value;
  for (const key of path) {
    if (typeof current !== "object" || current === null) return undefined;
    current = (current as Record<PropertyKey, unknown>)[key];
  }
  return current;
}

function describeValue(value: unknown): string {
  if (value === undefined) return "nothing";
  const text = JSON.stringify(value) ?? String(value);
  if (text.length <= MAX_FOUND_CHARACTERS) return text;
  return text.slice(0, MAX_FOUND_CHARACTERS) + "…";
}

/** Line of the deepest part of the path that exists in the text; 0 when none does. */
function lineOf(
  yaml: YamlDocument,
  lines: LineCounter,
  path: readonly PropertyKey[],
): number {
  for (let length = path.length; length > 0; length -= 1) {
    const node = yaml.getIn(path.slice(0, length), true);
    if (isNode(node) && node.range) return lines.linePos(node.range[0]).line;
  }
  return 0;
}
