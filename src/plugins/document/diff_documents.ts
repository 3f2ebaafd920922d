/**
 * Computes the differences between two documents, one for each path.
 *
 * @module
 */
import type { Document } from "./document.ts";

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
  return diffValues("", before, after);
}

/** Formats a change as one line of text. */
export function formatChange(change: Change): string {
  const { path, before, after } = change;
  if (before === undefined) return `+ ${path}: ${JSON.stringify(after)}`;
  if (after === undefined) return `- ${path}: ${JSON.stringify(before)}`;
  return `~ ${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
}

function diffValues(path: string, before: unknown, after: unknown): Change[] {
  if (Array.isArray(before) && Array.isArray(after)) {
    return diffLists(path, before, after);
  }
  if (isObject(before) && isObject(after)) {
    return diffObjects(path, before, after);
  }
  if (before === after) return [];
  const isPassword = path.endsWith(".password");
  return [{
    path,
    before: isPassword && before !== undefined
      ? REDACTED
      : redactPasswords(before),
    after: isPassword && after !== undefined
      ? REDACTED
      : redactPasswords(after),
  }];
}

function diffObjects(
  path: string,
  before: Readonly<Record<string, unknown>>,
  after: Readonly<Record<string, unknown>>,
): Change[] {
  const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...keys].flatMap((key) =>
    diffValues(path === "" ? key : `${path}.${key}`, before[key], after[key])
  );
}

function diffLists(
  path: string,
  before: readonly unknown[],
  after: readonly unknown[],
): Change[] {
  const beforeByName = indexByName(before);
  const afterByName = indexByName(after);
  const names = new Set([...beforeByName.keys(), ...afterByName.keys()]);
  return [...names].flatMap((name) =>
    diffValues(
      `${path}[${name}]`,
      beforeByName.get(name),
      afterByName.get(name),
    )
  );
}

/** Maps the items of a list by name; strings are their own name, and unnamed items use their index. */
function indexByName(items: readonly unknown[]): Map<string, unknown> {
  const itemsByName = new Map<string, unknown>();
  items.forEach((item, index) => itemsByName.set(nameOf(item, index), item));
  return itemsByName;
}

function nameOf(item: unknown, index: number): string {
  if (typeof item === "string") return item;
  if (!isObject(item)) return String(index);
  return String(item["name"] ?? item["database"] ?? index);
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

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
