/**
 * The highest term that an instance has seen, kept in a file where one is given,
 * so that a fence outlives the process.
 *
 * @module
 */
import { existsSync, readFileSync, renameSync, writeFileSync } from "node:fs";

/** A term that only grows. */
export class SeenTerm {
  readonly #file: string | undefined;
  #term: number;

  constructor(initial: number, file: string | undefined) {
    this.#file = file;
    this.#term = Math.max(initial, readTerm(file));
  }

  get value(): number {
    return this.#term;
  }

  /** Notes a term; a lower one changes nothing. */
  raise(term: number): void {
    if (term <= this.#term) return;
    this.#term = term;
    if (!this.#file) return;
    const partial = `${this.#file}.${process.pid}`;
    writeFileSync(partial, String(term));
    renameSync(partial, this.#file);
  }
}

function readTerm(file: string | undefined): number {
  if (!file || !existsSync(file)) return 0;
  return Number(readFileSync(file, "utf8"));
}
