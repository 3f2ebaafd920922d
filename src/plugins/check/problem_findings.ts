/**
 * Makes findings of the problems that reject a document.
 *
 * @module
 */
import {
  explainProblem,
  type Problem,
  type ProblemKind,
} from "../document/problem.ts";
import {
  createFinding,
  type Finding,
  type FindingKind,
  FindingKinds,
} from "./finding.ts";

const KINDS: Readonly<Record<ProblemKind, FindingKind>> = {
  "too large": FindingKinds.TOO_LARGE,
  "not YAML": FindingKinds.NOT_YAML,
  "too deep": FindingKinds.TOO_DEEP,
  "duplicate key": FindingKinds.DUPLICATE_KEY,
  "unknown key": FindingKinds.UNKNOWN_KEY,
  "missing value": FindingKinds.MISSING_VALUE,
  "invalid value": FindingKinds.INVALID_VALUE,
  "duplicate name": FindingKinds.DUPLICATE_NAME,
  "unknown name": FindingKinds.UNKNOWN_NAME,
};

/** Creates the finding of a problem. */
export function problemFinding(problem: Problem): Finding {
  const { kind, path, line } = problem;
  return createFinding(KINDS[kind], path, line, explainProblem(problem));
}
