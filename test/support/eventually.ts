/**
 * Waits for a condition in tests.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";

const DEADLINE_MS = 30_000;
const POLL_INTERVAL_MS = 20;

/** Polls until the condition holds; throws an error with the label when the deadline passes. */
export async function eventually(
  condition: () => boolean | Promise<boolean>,
  label = "the condition",
  deadlineMs = DEADLINE_MS,
): Promise<void> {
  const deadline = performance.now() + deadlineMs;
  while (!await condition()) {
    if (performance.now() > deadline) {
      throw new Error(`${label} does not hold after ${deadlineMs} ms`);
    }
    await sleep(POLL_INTERVAL_MS);
  }
}
