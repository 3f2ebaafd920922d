/**
 * Highest term that an instance has seen. A state file, if configured, preserves it,
 * so that a fence survives a restart of the process.
 *
 * @module
 */
import { existsSync, readFileSync, renameSync, writeFileSync } from "node:fs";

/** Highest term seen, which never decreases. */
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

  /** Raises the value to a term and writes the state file; a lower or equal term changes nothing. */
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
