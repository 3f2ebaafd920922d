/**
 * Request timeouts that tolerate pauses of this process, so that a pause does not count as a failure of the peer.
 *
 * @module
 */

/** A timer that fires later than this indicates that this process was paused. */
const LATENESS_THRESHOLD_MS = 25;

/**
 * Calls `onExpired` after `timeout` ms; returns a function that cancels it. A timer that fires
 * late is restarted, and input that has already arrived is processed before the callback runs.
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
