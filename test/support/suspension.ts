/**
 * Suspensions of the host in a test: the clock of the product goes on, while the
 * monotonic clock, and with it all timers, stands still.
 *
 * @module
 */
import type { TestContext } from "node:test";
import { clock } from "../../src/kernel/clock.ts";

/** Returns a function that suspends the host for a duration in ms; ends with the test. */
export function createSuspension(test: TestContext): (ms: number) => void {
  const realNow = clock.now.bind(clock);
  let suspended = 0;
  test.mock.method(clock, "now", () => realNow() + suspended);
  return (ms) => {
    suspended += ms;
  };
}

/** Makes the time of day follow the monotonic clock, as if it were set back by the length of each suspension. */
export function setTimeOfDayBack(test: TestContext): void {
  const start = Date.now() - performance.now();
  test.mock.method(Date, "now", () => start + performance.now());
}
