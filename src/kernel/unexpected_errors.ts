/**
 * Logs errors that the program does not expect. They concern one connection, row
 * or task, so the process goes on: its end would cut off all others.
 *
 * @module
 */
import { type EventFields, type EventLog, Events } from "./events.ts";

/** Logs an error with its stack; `where` names the part of the program. */
export function logUnexpected(
  log: EventLog,
  where: string,
  error: unknown,
  fields: EventFields = {},
): void {
  log.write(Events.UNEXPECTED, {
    where,
    ...fields,
    error: error instanceof Error ? error.stack : String(error),
  });
}

/** Logs the exceptions and rejections that nothing else handles, and keeps the process running. */
export function logUnhandledErrors(log: EventLog): void {
  process.on("unhandledRejection", (error) => {
    logUnexpected(log, "rejection", error);
  });
  process.on("uncaughtException", (error) => {
    logUnexpected(log, "exception", error);
  });
}
