/**
 * The statements that are prepared on one connection.
 *
 * @module
 */
import type { PreparedStatement } from "./link.ts";

/**
 * Names the statements of one connection by numbers that are not used twice. A name contains
 * nothing of the statement's text, which may contain any characters of any number.
 */
export class PreparedStatements {
  readonly #names = new Map<string, string>();
  #lastNumber = 0;

  /** Name of a statement that is prepared; undefined if it is not. */
  name(statement: PreparedStatement): string | undefined {
    return this.#names.get(keyOf(statement));
  }

  /** Adds a statement that is not prepared, and returns its name. */
  add(statement: PreparedStatement): string {
    this.#lastNumber += 1;
    const name = `s${this.#lastNumber}`;
    this.#names.set(keyOf(statement), name);
    return name;
  }

  /** Removes all statements; their names are not used again. */
  clear(): void {
    this.#names.clear();
  }
}

/** The effect has no space, so the key tells every two statements apart. */
function keyOf({ effect, shape }: PreparedStatement): string {
  return `${effect} ${shape}`;
}
