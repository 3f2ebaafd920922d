/**
 * A promise-based delay on the global timers, which tests may mock.
 *
 * @module
 */

/** Resolves after `durationMs` ms. */
export function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
