/**
 * Listener of an instance: runs a session for each connection and limits the
 * number of ordinary connections.
 *
 * @module
 */
import { createServer, type Server, type Socket } from "node:net";
import type { DatabaseInstance } from "./instance.ts";
import { Session, type SessionOptions } from "./session.ts";
import {
  type CancelKey,
  type ConnectionHandler,
  startConnection,
} from "./startup.ts";

/** Accepts the connections of an instance. */
export class InstanceServer implements ConnectionHandler {
  readonly server: Server;
  readonly #instance: DatabaseInstance;
  readonly #sessions = new Map<number, readonly [Session, CancelKey]>();
  #slotsInUse = 0;
  #lastProcessId = 0;

  constructor(instance: DatabaseInstance) {
    this.#instance = instance;
    this.server = createServer((socket) => this.#accept(socket));
  }

  reserveSlot(): boolean {
    if (this.#slotsInUse >= this.#instance.settings.connections) return false;
    this.#slotsInUse += 1;
    return true;
  }

  cancel(key: CancelKey): void {
    const [session, expectedKey] = this.#sessions.get(key.processId) ?? [];
    if (expectedKey?.secretKey === key.secretKey) session?.cancel();
  }

  serve(options: SessionOptions, key: CancelKey): void {
    const session = new Session(this.#instance, options);
    this.#sessions.set(options.processId, [session, key]);
    options.socket.once("close", () => {
      this.#sessions.delete(options.processId);
      if (!options.control) this.#slotsInUse -= 1;
    });
    session.run().catch((error) => this.#instance.crash(error));
  }

  #accept(socket: Socket): void {
    socket.setNoDelay(true);
    socket.on("error", () => socket.destroy());
    this.#lastProcessId += 1;
    startConnection(this.#instance, this, socket, this.#lastProcessId);
  }
}
