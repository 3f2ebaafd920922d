/**
 * Counts the bytes sent and received over a set of sockets.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { PeerTraffic } from "./peers.ts";

/** Total traffic of all sockets added, open and closed. */
export class SocketTraffic {
  readonly #openSockets = new Set<Socket>();
  #sent = 0;
  #received = 0;

  /** Adds a socket, which is counted from its first byte until it closes. */
  add(socket: Socket): void {
    this.#openSockets.add(socket);
    socket.once("close", () => {
      this.#openSockets.delete(socket);
      this.#sent += socket.bytesWritten;
      this.#received += socket.bytesRead;
    });
  }

  /** Returns the current totals. */
  total(): PeerTraffic {
    let sent = this.#sent;
    let received = this.#received;
    for (const socket of this.#openSockets) {
      sent += socket.bytesWritten;
      received += socket.bytesRead;
    }
    return { sent, received };
  }
}
