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

/** Names of tables may have any characters, all others are plain. */
const PLAIN_NAME_PATTERN = /^[\w.-]+$/;

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
    diffValues(
      path === "" ? key : `${path}.${key}`,
      ownValue(before, key),
      ownValue(after, key),
    )
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

function ownValue(
  object: Readonly<Record<string, unknown>>,
  key: string,
): unknown {
  return Object.hasOwn(object, key) ? object[key] : undefined;
}

/**
 * Maps the items of a list by name; strings are their own name, and unnamed items
 * use their index. The second item of a name is `NAME#2`, and so on.
 */
function indexByName(items: readonly unknown[]): Map<string, unknown> {
  const itemsByName = new Map<string, unknown>();
  items.forEach((item, index) => {
    const name = quoteUnlessPlain(nameOf(item, index));
    let key = name;
    for (let count = 2; itemsByName.has(key); count += 1) {
      key = `${name}#${count}`;
    }
    itemsByName.set(key, item);
  });
  return itemsByName;
}

/** Quotes a name with characters that could be mistaken for other parts of a line. */
function quoteUnlessPlain(name: string): string {
  return PLAIN_NAME_PATTERN.test(name) ? name : JSON.stringify(name);
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
