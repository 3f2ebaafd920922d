/**
 * Parses the configuration document from YAML and validates it. Each problem
 * has the line, the path, the expected value and the value that was found.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import {
  createFailure,
  type Failure,
  ResultCodes,
} from "../../kernel/result_codes.ts";
import {
  type Document,
  documentSchema,
  type DuplicateName,
  type UnknownName,
} from "./document.ts";
import { nearestName } from "./nearest_name.ts";
import {
  formatPath,
  formatProblem,
  type Problem,
  type Rejection,
} from "./problem.ts";
import { knownKeys } from "./schema_keys.ts";
import { MAX_PROBLEMS, readYaml } from "./yaml_text.ts";

export { formatPath, formatProblem, type Problem } from "./problem.ts";
export { MAX_DOCUMENT_CHARACTERS } from "./yaml_text.ts";

const MAX_SHOWN_PROBLEMS = 20;
const MAX_FOUND_CHARACTERS = 60;

/** Names that a message lists; a document may have thousands. */
const MAX_LISTED_NAMES = 20;

/** Key whose value is not shown: it may be a password instead of a hash. */
const SECRET_KEY = "password";

/** A document with the lines of its parts. */
export interface LocatedDocument {
  readonly document: Document;
  /** Line of the deepest part of the path that exists in the text; 0 when none does. */
  lineOf(path: readonly PropertyKey[]): number;
}

/** Parses and validates a document. Fails with DOCUMENT_INVALID, whose message lists the problems. */
export function parseDocument(text: string): Result<Document, Failure> {
  return locateDocument(text)
    .map(({ document }) => document)
    .mapErr(({ problems, omitted }) => {
      const shown = problems.slice(0, MAX_SHOWN_PROBLEMS).map(formatProblem);
      const others = problems.length + omitted - shown.length;
      if (others > 0) shown.push(`and ${others} more`);
      const hint = problems.find((problem) => problem.hint)?.hint;
      return createFailure(
        ResultCodes.DOCUMENT_INVALID,
        shown.join("\n"),
        hint === undefined ? {} : { hint },
      );
    });
}

/** Parses and validates a document; fails with the list of problems. */
export function validateDocument(
  text: string,
): Result<Document, readonly Problem[]> {
  return locateDocument(text)
    .map(({ document }) => document)
    .mapErr(({ problems }) => problems);
}

/** Parses and validates a document, and finds the lines of its parts. */
export function locateDocument(
  text: string,
): Result<LocatedDocument, Rejection> {
  return readYaml(text).andThen(({ value, lineOf }) => {
    const parsed = documentSchema.safeParse(value);
    if (parsed.success) return ok({ document: parsed.data, lineOf });
    return err(describeIssues(parsed.error.issues, value, lineOf));
  });
}

function describeIssues(
  issues: readonly z.core.$ZodIssue[],
  value: unknown,
  lineOf: LocatedDocument["lineOf"],
): Rejection {
  const problems: Problem[] = [];
  let omitted = 0;
  for (const issue of issues) {
    const room = MAX_PROBLEMS - problems.length;
    const keys = issue.code === "unrecognized_keys" ? issue.keys : [];
    const count = Math.max(1, keys.length);
    omitted += Math.max(0, count - room);
    if (room === 0) continue;
    if (keys.length === 0) {
      problems.push(describeIssue(issue, value, lineOf(issue.path)));
    }
    for (const key of keys.slice(0, room)) {
      const path = [...issue.path, key];
      problems.push(describeUnknownKey(path, lineOf(path)));
    }
  }
  return { problems, omitted };
}

function describeIssue(
  issue: z.core.$ZodIssue,
  value: unknown,
  line: number,
): Problem {
  const path = formatPath(issue.path);
  const found = valueAt(value, issue.path);
  const shown = issue.path.at(-1) === SECRET_KEY && found !== undefined
    ? "a value that is not shown"
    : describeValue(found);
  const reference = issue.code === "custom"
    ? issue.params as UnknownName | DuplicateName | undefined
    : undefined;
  if (reference && "known" in reference) {
    return describeUnknownName(reference, found, { path, found: shown, line });
  }
  const isMissing = found === undefined && issue.code === "invalid_type";
  const hint = issue.code === "invalid_value"
    ? suggest(found, issue.values.map(String))
    : undefined;
  return {
    kind: reference
      ? "duplicate name"
      : isMissing
      ? "missing value"
      : "invalid value",
    path,
    expected: describeExpectation(issue),
    found: reference ? `${reference.duplicate} again` : shown,
    line,
    hint,
  };
}

function describeUnknownName(
  { what, known }: UnknownName,
  found: unknown,
  place: Pick<Problem, "path" | "found" | "line">,
): Problem {
  const listed = known.slice(0, MAX_LISTED_NAMES).join(", ");
  const others = known.length - MAX_LISTED_NAMES;
  return {
    ...place,
    kind: "unknown name",
    expected: `one of ${what}${listed}${
      others > 0 ? ` and ${others} more` : ""
    }`,
    hint: suggest(found, known),
  };
}

function describeUnknownKey(
  path: readonly PropertyKey[],
  line: number,
): Problem {
  const key = String(path.at(-1));
  const known = knownKeys(documentSchema, path.slice(0, -1));
  return {
    kind: "unknown key",
    path: formatPath(path),
    expected: `one of the keys ${known.join(", ")}`,
    found: `the unknown key ${key}`,
    line,
    hint: suggest(key, known),
  };
}

function suggest(
  found: unknown,
  known: readonly string[],
): string | undefined {
  if (typeof found !== "string") return undefined;
  const name = nearestName(found, known);
  return name && `did you mean ${name}?`;
}

function describeExpectation(issue: z.core.$ZodIssue): string {
  if (issue.code === "invalid_union") return "an IP number";
  const message = issue.code === "invalid_key"
    ? issue.issues[0]?.message ?? issue.message
    : issue.message;
  return message
    .replace(/^(Invalid input|Invalid option|Invalid string): /, "")
    .replace(/, received .*$/, "")
    .replace(/^Too (small|big): /, "")
    .replace(/^expected /, "");
}

function valueAt(value: unknown, path: readonly PropertyKey[]): unknown {
  let current = value;
  for (const key of path) {
    if (typeof current !== "object" || current === null) return undefined;
    if (!Object.hasOwn(current, key)) return undefined;
    current = (current as Record<PropertyKey, unknown>)[key];
  }
  return current;
}

function describeValue(value: unknown): string {
  if (value === undefined) return "nothing";
  const text = typeof value === "number"
    ? String(value)
    : JSON.stringify(value, hideSecret) ?? String(value);
  if (text.length <= MAX_FOUND_CHARACTERS) return text;
  return text.slice(0, MAX_FOUND_CHARACTERS) + "…";
}

function hideSecret(key: string, value: unknown): unknown {
  return key === SECRET_KEY ? "(hidden)" : value;
}
