/**
 * What a benchmark of the load tool is given and what it gives.
 *
 * @module
 */
import type { StackDescription } from "../standins/stack/options.ts";
import type { CallerAccount } from "./load/orders.ts";

/** Options of all benchmarks; each reads those it needs. */
export interface BenchmarkOptions {
  /** Length of each measured phase, in s. */
  readonly seconds: number;
  /** Number of callers; each benchmark has its own default. */
  readonly callers?: number;
  /** Number of faults of each kind. */
  readonly rounds: number;
  /** Tells of progress. */
  readonly report: (text: string) => void;
}

/** A cell of a table for people. */
export type Cell = string | number;

/** Result of a benchmark. */
export interface BenchmarkResult {
  /** Table for people. */
  readonly rows: readonly Readonly<Record<string, Cell>>[];
  /** The line of JSON. */
  readonly summary: Readonly<Record<string, unknown>>;
}

/** A benchmark. */
export type Benchmark = (
  options: BenchmarkOptions,
) => Promise<BenchmarkResult>;

/** The account that opens a database of a stack. */
export function accountOf(
  { user, password }: StackDescription,
  database: string,
): CallerAccount {
  return { user, password, database };
}

/** Rounds to a number of digits after the point. */
export function round(value: number, digits = 2): number {
  return Number(value.toFixed(digits));
}
