/**
 * An event log on standard output that never blocks and never grows without
 * bound: when the reader is too slow, lines are left out and counted.
 *
 * @module
 */
import pino from "pino";
import { type EventFields, EventLog, Events } from "./events.ts";

/** Lines that wait for the reader may take this many bytes. */
const BUFFER_BYTES = 1024 * 1024;

/** Lines are written together once they have this many bytes, or after the flush interval. */
const WRITE_BYTES = 8 * 1024;
const FLUSH_INTERVAL_MS = 200;

/** Time between two reports of lines that were left out, in ms. */
const REPORT_INTERVAL_MS = 1_000;

/** An event log, and how to end it. */
export interface BoundedLog {
  readonly log: EventLog;
  /** Lines left out so far. */
  omitted(): number;
  /** Writes what is left, for the end of the process. */
  flush(): void;
}

/** Makes an event log that writes to standard output. */
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
  // A reader that has gone away ends the log, not the process.
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
    omitted: () => omitted,
    flush: () => {
      try {
        destination.flushSync();
      } catch (error) {
        // Standard output can't take the line that tells of this.
        const reason = error instanceof Error ? error.message : String(error);
        process.stderr.write(
          `marjoramshed: the last log lines are lost: ${reason}\n`,
        );
      }
    },
  };
}
