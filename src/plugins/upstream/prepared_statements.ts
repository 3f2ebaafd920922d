/**
 * The statements that are prepared on one connection.
 *
 * @module
 */
import type { PreparedStatement } from "./link.ts";

/** Statements kept on one connection; more than callers of one group usually prepare. */
const MAX_STATEMENTS = 500;

/** Limit for the shapes kept on one connection, in characters: two of the longest that a message can hold. */
const MAX_SHAPES_LENGTH = 2 * 1024 * 1024;

/** A statement that is prepared under a name. */
interface NamedStatement {
  readonly name: string;
  readonly length: number;
}

/**
 * Names the statements of one connection by numbers that are not used twice. A name contains
 * nothing of the statement's text, which may contain any characters of any number.
 */
export class PreparedStatements {
  /** Least recently used first. */
  readonly #statements = new Map<string, NamedStatement>();
  #lastNumber = 0;
  #length = 0;

  /** Name of a statement that is prepared; undefined if it is not. Counts as a use. */
  name(statement: PreparedStatement): string | undefined {
    const key = keyOf(statement);
    const found = this.#statements.get(key);
    if (!found) return undefined;
    this.#statements.delete(key);
    this.#statements.set(key, found);
    return found.name;
  }

  /** Adds a statement that is not prepared, and returns its name. */
  add(statement: PreparedStatement): string {
    this.#lastNumber += 1;
    const name = `s${this.#lastNumber}`;
    const { length } = statement.shape;
    this.#statements.set(keyOf(statement), { name, length });
    this.#length += length;
    return name;
  }

  /** Removes the least recently used statements beyond the limits, but not the latest, and returns their names. */
  evict(): readonly string[] {
    const names: string[] = [];
    for (const [key, { name, length }] of this.#statements) {
      if (!this.#exceedsLimits) break;
      this.#statements.delete(key);
      this.#length -= length;
      names.push(name);
    }
    return names;
  }

  /** Removes all statements; their names are not used again. */
  clear(): void {
    this.#statements.clear();
    this.#length = 0;
  }

  get #exceedsLimits(): boolean {
    const { size } = this.#statements;
    if (size <= 1) return false;
    return size > MAX_STATEMENTS || this.#length > MAX_SHAPES_LENGTH;
  }
}

/** The effect has no space, so the key tells every two statements apart. */
function keyOf({ effect, shape }: PreparedStatement): string {
  return `${effect} ${shape}`;
}
