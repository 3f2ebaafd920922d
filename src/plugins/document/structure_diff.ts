/**
 * Compares two plain values part by part. Items of lists are compared by name, so
 * that an item which moves is no difference.
 *
 * @module
 */

/** A key of an object, or the name of an item of a list. */
export interface Step {
  readonly name: string;
  readonly isItem: boolean;
}

/** A difference at one path; undefined means that the value is absent. */
export interface Difference {
  readonly steps: readonly Step[];
  readonly before: unknown;
  readonly after: unknown;
}

/** Names of tables may have any characters, all others are plain. */
const PLAIN_NAME_PATTERN = /^[\w.-]+$/;

/** Returns all differences in the order of the values. */
export function diffValues(
  before: unknown,
  after: unknown,
  steps: readonly Step[] = [],
): readonly Difference[] {
  if (Array.isArray(before) && Array.isArray(after)) {
    const [left, right] = [itemsByName(before), itemsByName(after)];
    const names = new Set([...left.keys(), ...right.keys()]);
    return [...names].flatMap((name) =>
      diffValues(
        left.get(name)?.item,
        right.get(name)?.item,
        [...steps, { name, isItem: true }],
      )
    );
  }
  if (isObject(before) && isObject(after)) {
    const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
    return [...keys].flatMap((name) =>
      diffValues(
        ownValue(before, name),
        ownValue(after, name),
        [...steps, { name, isItem: false }],
      )
    );
  }
  return before === after ? [] : [{ steps, before, after }];
}

/** Formats steps such as `environments.trial.groups[booking].reads.maxAge`. */
export function formatSteps(steps: readonly Step[]): string {
  return steps.reduce((path, { name, isItem }) => {
    if (isItem) return `${path}[${name}]`;
    return path === "" ? name : `${path}.${name}`;
  }, "");
}

/** The value that steps lead to; undefined if there is none. */
export function valueAtSteps(value: unknown, steps: readonly Step[]): unknown {
  return followSteps(value, steps).value;
}

/** Keys and indexes of the part that steps lead to, as far as it exists. */
export function placeOfSteps(
  value: unknown,
  steps: readonly Step[],
): readonly (string | number)[] {
  return followSteps(value, steps).place;
}

function followSteps(
  root: unknown,
  steps: readonly Step[],
): { value: unknown; place: readonly (string | number)[] } {
  const place: (string | number)[] = [];
  let value = root;
  for (const { name, isItem } of steps) {
    const found = isItem && Array.isArray(value)
      ? itemsByName(value).get(name)
      : isObject(value) && Object.hasOwn(value, name)
      ? { item: value[name], index: name }
      : undefined;
    if (!found) return { value: undefined, place };
    place.push(found.index);
    value = found.item;
  }
  return { value, place };
}

interface NamedItem {
  readonly item: unknown;
  readonly index: number;
}

const knownItems = new WeakMap<
  readonly unknown[],
  ReadonlyMap<string, NamedItem>
>();

/**
 * Maps the items of a list by name; strings are their own name, and unnamed items
 * use their index. The second item of a name is `NAME#2`, and so on.
 */
function itemsByName(
  items: readonly unknown[],
): ReadonlyMap<string, NamedItem> {
  const known = knownItems.get(items);
  if (known) return known;
  const named = new Map<string, NamedItem>();
  const counts = new Map<string, number>();
  items.forEach((item, index) => {
    const name = quoteUnlessPlain(nameOf(item, index));
    let count = (counts.get(name) ?? 0) + 1;
    while (named.has(keyOf(name, count))) count += 1;
    counts.set(name, count);
    named.set(keyOf(name, count), { item, index });
  });
  knownItems.set(items, named);
  return named;
}

function keyOf(name: string, count: number): string {
  return count === 1 ? name : `${name}#${count}`;
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

function ownValue(
  object: Readonly<Record<string, unknown>>,
  key: string,
): unknown {
  return Object.hasOwn(object, key) ? object[key] : undefined;
}

/** Whether a value is an object with keys. */
export function isObject(
  value: unknown,
): value is Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
