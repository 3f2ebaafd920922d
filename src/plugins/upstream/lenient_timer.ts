/**
 * A timer that does not blame the other side for a pause of this process.
 *
 * @module
 */

/** A timer that fires this much late shows that the process itself was held up. */
const LATE_TIMER_MS = 25;

/**
 * Calls back after `timeout` ms; gives a function that cancels it. A timer that fires late is
 * armed anew, and input that already arrived is read before the callback runs.
 */
export function startTimer(timeout: number, expired: () => void): () => void {
  let cancelled = false;
  let timer: NodeJS.Timeout;
  const arm = () => {
    const due = performance.now() + timeout;
    timer = setTimeout(() => {
      if (performance.now() - due > LATE_TIMER_MS) return arm();
      setImmediate(() => {
        if (!cancelled) expired();
      });
    }, timeout);
  };
  arm();
  return () => {
    cancelled = true;
    clearTimeout(timer);
  };
}
