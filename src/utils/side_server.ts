/**
 * Listening of the small HTTP servers that a proxy can do without.
 *
 * @module
 */
import type { Server } from "node:http";
import { type EventLog, Events } from "../kernel/events.ts";

/** An IP number and a port. */
export interface ServerAddress {
  readonly host: string;
  readonly port: number;
}

/** Listens; an address that is not free is logged under the server's name, and the proxy serves all the same. */
export function listenIfFree(
  server: Server,
  { host, port }: ServerAddress,
  where: string,
  log: EventLog,
): Promise<void> {
  return new Promise((resolve) => {
    server.once("error", (error) => {
      log.write(Events.UNEXPECTED, { where, error: error.message });
      resolve();
    });
    server.listen(port, host, resolve);
  });
}

/** Listens no more and closes what is connected. */
export function closeServer(server: Server): void {
  server.closeAllConnections();
  server.close();
}
