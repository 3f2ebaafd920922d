/**
 * Counts the bytes of many sockets.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { PeerTraffic } from "./peers.ts";

/** Sums the bytes of open and closed sockets. */
export class SocketTraffic {
  readonly #open = new Set<Socket>();
  #sent = 0;
  #received = 0;

  /** Counts a socket from its first byte to its close. */
  add(socket: Socket): void {
    this.#open.add(socket);
    socket.once("close", () => {
      this.#open.delete(socket);
      this.#sent += socket.bytesWritten;
      this.#received += socket.bytesRead;
    });
  }

  /** The sums up to now. */
  total(): PeerTraffic {
    let sent = this.#sent;
    let received = this.#received;
    for (const socket of this.#open) {
      sent += socket.bytesWritten;
      received += socket.bytesRead;
    }
    return { sent, received };
  }
}
