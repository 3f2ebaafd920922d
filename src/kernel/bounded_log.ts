/**
 * A non-blocking event log on standard output with a bounded buffer: when the
 * reader is too slow, lines are dropped and counted.
 *
 * @module
 */
import pino from "pino";
import { type EventFields, EventLog, Events } from "./events.ts";

/** Size limit of the buffer of lines that the reader has not taken yet. */
const BUFFER_BYTES = 1024 * 1024;

/** Lines are written in batches of at least this size, or after the flush interval. */
const WRITE_BYTES = 8 * 1024;
const FLUSH_INTERVAL_MS = 200;

/** Interval between two reports of dropped lines. */
const REPORT_INTERVAL_MS = 1_000;

/** An event log with a drop counter and a final flush. */
export interface BoundedLog {
  readonly log: EventLog;
  /** Number of lines dropped so far. */
  droppedCount(): number;
  /** Writes the buffered lines synchronously; call it before the process exits. */
  flush(): void;
}

/** Creates an event log that writes to standard output. */
export function createBoundedLog(
  level: string,
  base: EventFields,
): BoundedLog {
  const destination = pino.destination({
    dest: 1,
    sync: false,
    minLength: WRITE_BYTES,
    maxLength: BUFFER_BYTES,
    periodicFlush: FLUSH_INTERVAL_MS,
  });
  const log = new EventLog(pino({ level, base }, destination));
  let omitted = 0;
  let reported = 0;
  destination.on("drop", () => {
    omitted += 1;
  });
  // A closed pipe must not terminate the process; the lines count as dropped.
  destination.on("error", () => {
    omitted += 1;
  });
  setInterval(() => {
    if (omitted === reported) return;
    reported = omitted;
    log.write(Events.LINES_OMITTED, { dropped: omitted });
  }, REPORT_INTERVAL_MS).unref();
  return {
    log,
    droppedCount: () => omitted,
    flush: () => {
      try {
        destination.flushSync();
      } catch (error) {
        // Standard output has failed, so this goes to standard error.
        const reason = error instanceof Error ? error.message : String(error);
        process.stderr.write(
          `marjoramshed: can't flush the log, the last lines are lost: ${reason}\n`,
        );
      }
    },
  };
}
