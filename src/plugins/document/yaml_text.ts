/**
 * Reads YAML that may have been written to do harm. Everything that the library
 * handles by recursion or by comparing all with all is bounded before it runs.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import {
  Composer,
  type Document as YamlDocument,
  isAlias,
  isMap,
  isScalar,
  isSeq,
  Lexer,
  LineCounter,
  Parser,
} from "yaml";
import {
  formatPath,
  type Problem,
  type Rejection,
  rejectWhole,
} from "./problem.ts";

/** Maximum length of a document, in characters. */
export const MAX_DOCUMENT_CHARACTERS = 1_000_000;

/** Maximum number of tokens; the examples have 0.3 tokens for each character. */
const MAX_TOKENS = 500_000;

/** Maximum nesting; a document needs 9 levels, and the library overflows the stack at some thousands. */
const MAX_DEPTH = 64;

/** Maximum number of aliases; the library compares each with all anchors before it. */
const MAX_ALIASES = 1_000;

/** Maximum number of values after aliases are resolved; a document of the maximum length has about 130,000 without aliases. */
const MAX_VALUES = 200_000;

/** Problems that are described; the others are counted. */
export const MAX_PROBLEMS = 100;

/** Token by which the lexer announces that the next one is the text of a scalar. */
const SCALAR_MARK = "\u001f";

/** Own properties of this name would hide the prototype of an object. */
const PROTOTYPE_KEY = "__proto__";

/** A text that is YAML: its value, and the lines of the value's parts. */
export interface YamlText {
  readonly value: unknown;
  /** Line of the deepest part of the path that exists in the text; 0 when none does. */
  lineOf(path: readonly PropertyKey[]): number;
}

/** Reads one YAML document; fails with the problems. */
export function readYaml(text: string): Result<YamlText, Rejection> {
  if (text.length > MAX_DOCUMENT_CHARACTERS) {
    return err(rejectWhole(
      "too large",
      `at most ${MAX_DOCUMENT_CHARACTERS} characters`,
      String(text.length),
    ));
  }
  const lines = new LineCounter();
  return parseTokens(text, lines)
    .andThen((tokens) => composeDocument(tokens, text.length, lines))
    .andThen((yaml) => {
      const locator = new LineLocator(yaml, lines);
      return checkKeys(yaml, locator)
        .andThen(() => toPlainValue(yaml))
        .andThen(checkSize)
        .map((value): YamlText => ({
          value,
          lineOf: (path) => locator.lineOf(path),
        }));
    });
}

type SyntaxToken = Parser["stack"][number];

/** Parses the syntax without recursion; stops where a limit is exceeded. */
function parseTokens(
  text: string,
  lines: LineCounter,
): Result<readonly SyntaxToken[], Rejection> {
  const parser = new Parser(lines.addNewLine);
  const tokens: SyntaxToken[] = [];
  let tokenCount = 0;
  let aliasCount = 0;
  let errorCount = 0;
  let previous = "";
  lines.addNewLine(0);
  const lineHere = () => lines.linePos(parser.offset).line;
  for (const lexeme of new Lexer().lex(text)) {
    for (const token of parser.next(lexeme)) {
      if (token.type === "error") errorCount += 1;
      tokens.push(token);
    }
    if (errorCount > MAX_PROBLEMS) return ok(tokens);
    if (parser.stack.length > MAX_DEPTH) {
      return err(tooDeep(lineHere()));
    }
    tokenCount += 1;
    if (tokenCount > MAX_TOKENS) {
      return err(tooLarge(`at most ${MAX_TOKENS} tokens`, lineHere()));
    }
    if (lexeme.startsWith("*") && previous !== SCALAR_MARK) aliasCount += 1;
    if (aliasCount > MAX_ALIASES) {
      return err(tooLarge(`at most ${MAX_ALIASES} aliases`, lineHere()));
    }
    previous = lexeme;
  }
  tokens.push(...parser.end());
  return ok(tokens);
}

function composeDocument(
  tokens: readonly SyntaxToken[],
  length: number,
  lines: LineCounter,
): Result<YamlDocument, Rejection> {
  const composer = new Composer({
    lineCounter: lines,
    // Formatting an error searches the whole text.
    prettyErrors: false,
    // The library compares each key with all others; `checkKeys` does not.
    uniqueKeys: false,
    stringKeys: true,
    logLevel: "error",
  });
  const documents = composer.compose(tokens, true, length);
  const yaml = documents.next().value!;
  const errors = yaml.errors.map((error) =>
    notYaml(error.message, lines.linePos(error.pos[0]).line)
  );
  const second = errors.length === 0 ? documents.next().value : undefined;
  if (second) {
    const line = lines.linePos(second.range[0]).line;
    errors.push(notYaml("a second document", line));
  }
  return errors.length === 0 ? ok(yaml) : err(limitProblems(errors));
}

/** Finds keys that a mapping has twice, and keys that no object can hold. */
function checkKeys(
  yaml: YamlDocument,
  locator: LineLocator,
): Result<void, Rejection> {
  const problems: Problem[] = [];
  const report = (path: readonly PropertyKey[], duplicate: boolean) => {
    const key = String(path.at(-1));
    problems.push({
      kind: duplicate ? "duplicate key" : "unknown key",
      path: formatPath(path),
      expected: duplicate ? "YAML" : "a key of the document",
      found: duplicate ? `the key ${key} again` : `the unknown key ${key}`,
      line: locator.lineOf(path),
    });
  };
  const visit = (node: unknown, path: readonly PropertyKey[]): void => {
    if (isSeq(node)) {
      node.items.forEach((item, index) => visit(item, [...path, index]));
    }
    if (!isMap(node)) return;
    const keys = new Set<string>();
    for (const pair of node.items) {
      const key = keyOf(pair.key);
      const place = [...path, key];
      if (keys.has(key)) report(place, true);
      else if (key === PROTOTYPE_KEY) report(place, false);
      keys.add(key);
      visit(pair.value, place);
    }
  };
  visit(yaml.contents, []);
  return problems.length === 0 ? ok() : err(limitProblems(problems));
}

/** Converts to plain values with aliases resolved; the library rejects excessive alias expansion. */
function toPlainValue(yaml: YamlDocument): Result<unknown, Rejection> {
  try {
    return ok(yaml.toJS());
  } catch (error) {
    const found = error instanceof Error ? error.message : String(error);
    return err(rejectWhole("not YAML", "YAML", found));
  }
}

/** Limits the size of a value whose parts may be shared by many aliases; the depth without aliases is limited before. */
function checkSize(value: unknown): Result<unknown, Rejection> {
  const sizes = new Map<object, Size>();
  const measure = (part: unknown): Size => {
    if (typeof part !== "object" || part === null) return SCALAR_SIZE;
    const before = sizes.get(part);
    if (before) return before;
    // Holds while the parts are measured: only an alias inside its own anchor finds it.
    sizes.set(part, ENDLESS_SIZE);
    let count = 1;
    let depth = 1;
    for (const item of Object.values(part)) {
      const size = measure(item);
      count += size.count;
      depth = Math.max(depth, size.depth + 1);
    }
    sizes.set(part, { count, depth });
    return { count, depth };
  };
  const { count, depth } = measure(value);
  if (count === Infinity) {
    const found = "an alias inside its own anchor";
    return err(rejectWhole("not YAML", "YAML", found));
  }
  if (depth > MAX_DEPTH) return err(tooDeep(0));
  if (count <= MAX_VALUES) return ok(value);
  return err(
    rejectWhole("too large", `at most ${MAX_VALUES} values`, String(count)),
  );
}

/** Number and nesting of the values in a part of a document. */
interface Size {
  readonly count: number;
  readonly depth: number;
}

const SCALAR_SIZE: Size = { count: 1, depth: 0 };
const ENDLESS_SIZE: Size = { count: Infinity, depth: 0 };

/** Finds the lines of values by their path; keys of each mapping are indexed once. */
class LineLocator {
  readonly #yaml: YamlDocument;
  readonly #lines: LineCounter;
  readonly #indexes = new Map<object, ReadonlyMap<string, Entry>>();

  constructor(yaml: YamlDocument, lines: LineCounter) {
    this.#yaml = yaml;
    this.#lines = lines;
  }

  lineOf(path: readonly PropertyKey[]): number {
    let node: unknown = this.#yaml.contents;
    let offset: number | undefined;
    for (const key of path) {
      const entry = this.#find(node, key);
      if (!entry) break;
      offset = entry.offset ?? offset;
      node = entry.node;
    }
    return offset === undefined ? 0 : this.#lines.linePos(offset).line;
  }

  #find(node: unknown, key: PropertyKey): Entry | undefined {
    if (isSeq(node)) {
      const item = node.items[Number(key)];
      return item === undefined
        ? undefined
        : { node: item, offset: startOf(item) };
    }
    if (!isMap(node)) return undefined;
    let index = this.#indexes.get(node);
    if (!index) {
      index = new Map(node.items.map((pair) => [
        keyOf(pair.key),
        { node: pair.value, offset: startOf(pair.key) ?? startOf(pair.value) },
      ]));
      this.#indexes.set(node, index);
    }
    return index.get(String(key));
  }
}

interface Entry {
  readonly node: unknown;
  readonly offset: number | undefined;
}

function startOf(node: unknown): number | undefined {
  const hasRange = isScalar(node) || isMap(node) || isSeq(node) ||
    isAlias(node);
  return hasRange ? node.range?.[0] : undefined;
}

function keyOf(key: unknown): string {
  return isScalar(key) ? String(key.value) : String(key);
}

function notYaml(found: string, line: number): Problem {
  const text = found.split("\n")[0] ?? "";
  return { kind: "not YAML", path: "", expected: "YAML", found: text, line };
}

function tooDeep(line: number): Rejection {
  const expected = `at most ${MAX_DEPTH} levels`;
  return rejectWhole("too deep", expected, "more", line);
}

function tooLarge(expected: string, line: number): Rejection {
  return rejectWhole("too large", expected, "more", line);
}

/** Keeps the problems that are described. */
function limitProblems(problems: readonly Problem[]): Rejection {
  const described = problems.slice(0, MAX_PROBLEMS);
  return { problems: described, omitted: problems.length - described.length };
}
