/**
 * A timer that does not blame the other side for a pause of this process.
 *
 * @module
 */

/** A timer that fires this much late shows that the process itself was held up. */
const LATENESS_THRESHOLD_MS = 25;

/**
 * Calls back after `timeout` ms; gives a function that cancels it. A timer that fires late is
 * armed anew, and input that already arrived is read before the callback runs.
 */
export function startTimer(timeout: number, onExpired: () => void): () => void {
  let cancelled = false;
  let timer: NodeJS.Timeout;
  const arm = () => {
    const dueAt = performance.now() + timeout;
    timer = setTimeout(() => {
      if (performance.now() - dueAt > LATENESS_THRESHOLD_MS) return arm();
      setImmediate(() => {
        if (!cancelled) onExpired();
      });
    }, timeout);
  };
  arm();
  return () => {
    cancelled = true;
    clearTimeout(timer);
  };
}
