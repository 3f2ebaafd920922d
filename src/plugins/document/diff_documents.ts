/**
 * Computes the differences between two documents, one for each path.
 *
 * @module
 */
import type { Document } from "./document.ts";
import {
  type Difference,
  diffValues,
  formatSteps,
  isObject,
} from "./structure_diff.ts";

/** A difference at one path; undefined means that the value is absent. Durations are in ms. */
export interface Change {
  /** Path of the value, such as `environments.trial.groups[booking].reads.maxAge`. */
  readonly path: string;
  readonly before: unknown;
  readonly after: unknown;
}

const REDACTED = "(hidden)";

/** Returns all differences in document order, with password hashes redacted. */
export function diffDocuments(
  before: Document | undefined,
  after: Document,
): readonly Change[] {
  return diffValues(before, after).map(createChange);
}

/** Creates the change of a difference, with password hashes redacted. */
export function createChange({ steps, before, after }: Difference): Change {
  const last = steps.at(-1);
  const isPassword = last?.name === "password" && !last.isItem;
  const redact = (value: unknown) =>
    isPassword && value !== undefined ? REDACTED : redactPasswords(value);
  return {
    path: formatSteps(steps),
    before: redact(before),
    after: redact(after),
  };
}

/** Formats a change as one line of text. */
export function formatChange(change: Change): string {
  const { path, before, after } = change;
  if (before === undefined) return `+ ${path}: ${JSON.stringify(after)}`;
  if (after === undefined) return `- ${path}: ${JSON.stringify(before)}`;
  return `~ ${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
}

function redactPasswords(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(redactPasswords);
  if (!isObject(value)) return value;
  return Object.fromEntries(
    Object.entries(value).map(([key, item]) => [
      key,
      key === "password" ? REDACTED : redactPasswords(item),
    ]),
  );
}
