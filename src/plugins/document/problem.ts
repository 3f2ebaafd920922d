/**
 * Problems of a document: what was expected and found, and where.
 *
 * @module
 */
import { escapeControls } from "../../utils/printable.ts";

/** What kind of mistake a problem is. */
export type ProblemKind =
  | "too large"
  | "not YAML"
  | "too deep"
  | "duplicate key"
  | "unknown key"
  | "missing value"
  | "invalid value"
  | "duplicate name"
  | "unknown name";

/** A validation error in a document. */
export interface Problem {
  readonly kind: ProblemKind;
  /** Path such as `environments.trial.groups[0].reads`; empty for the whole document. */
  readonly path: string;
  readonly expected: string;
  readonly found: string;
  /** Line number, starting at 1; 0 when unknown. */
  readonly line: number;
  readonly hint?: string;
}

/** Why a text is no document. */
export interface Rejection {
  readonly problems: readonly Problem[];
  /** Number of further problems that are not described. */
  readonly omitted: number;
}

/** Formats a problem as one line of text. */
export function formatProblem(problem: Problem): string {
  const location = problem.line > 0 ? `line ${problem.line}: ` : "";
  const path = problem.path === "" ? "document" : problem.path;
  return escapeControls(`${location}${path}: ${explainProblem(problem)}`);
}

/** Formats a problem without its place. */
export function explainProblem({ expected, found, hint }: Problem): string {
  return `expected ${expected}, found ${found}${hint ? `; ${hint}` : ""}`;
}

/** Formats a path such as `groups[0].reads`. */
export function formatPath(path: readonly PropertyKey[]): string {
  return path.reduce<string>((text, key) => {
    if (typeof key === "number") return `${text}[${key}]`;
    return text === "" ? String(key) : `${text}.${String(key)}`;
  }, "");
}

/** Creates the rejection of a text with one problem of the whole. */
export function rejectWhole(
  kind: ProblemKind,
  expected: string,
  found: string,
  line = 0,
): Rejection {
  const problem = { kind, path: "", expected, found, line };
  return { problems: [problem], omitted: 0 };
}
