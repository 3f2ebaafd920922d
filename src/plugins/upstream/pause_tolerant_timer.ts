/**
 * A timer for request timeouts that does not count a pause of this process as a failure of the peer.
 *
 * @module
 */
import { clock } from "../../kernel/clock.ts";

/** A timer that fires more than this late indicates that this process was paused. */
const LATE_TIMER_MS = 25;

/**
 * Calls `expired` after `timeout` ms; returns a function that cancels it. A timer that fires
 * late is restarted, and input that has already arrived is processed before the callback runs.
 */
export function startTimer(timeout: number, expired: () => void): () => void {
  let cancelled = false;
  let timer: NodeJS.Timeout;
  const arm = () => {
    const due = clock.now() + timeout;
    timer = setTimeout(() => {
      if (clock.now() - due > LATE_TIMER_MS) return arm();
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
