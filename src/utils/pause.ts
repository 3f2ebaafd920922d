/**
 * A wait on the process's timers, which tests may replace.
 *
 * @module
 */

/** Resolves after a time in ms. */
export function pause(duration: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, duration));
}
