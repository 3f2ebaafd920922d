/**
 * A promise-based delay on the global timers, which tests may mock.
 *
 * @module
 */

/** Resolves after `duration` ms. */
export function sleep(duration: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, duration));
}
