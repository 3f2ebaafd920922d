/**
 * Starts and stops optional HTTP servers, without which a proxy still serves.
 *
 * @module
 */
import type { Server } from "node:http";
import { type EventLog, Events } from "../kernel/events.ts";

/** An IP address and a port. */
export interface ServerAddress {
  readonly host: string;
  readonly port: number;
}

/** Starts listening; resolves in any case: an error, such as an address in use, is logged with the server's name in `where`. */
export function tryListen(
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

/** Stops listening and closes all open connections. */
export function closeServer(server: Server): void {
  server.closeAllConnections();
  server.close();
}
