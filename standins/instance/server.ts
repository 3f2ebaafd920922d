/**
 * The listener of an instance: one task for each connection, and the limit of
 * ordinary connections.
 *
 * @module
 */
import { createServer, type Server, type Socket } from "node:net";
import type { DatabaseInstance } from "./instance.ts";
import { Session, type SessionStart } from "./session.ts";
import { type Admission, type CancelKey, greet } from "./startup.ts";

/** Accepts connections for an instance. */
export class InstanceServer implements Admission {
  readonly server: Server;
  readonly #instance: DatabaseInstance;
  readonly #sessions = new Map<number, readonly [Session, CancelKey]>();
  #ordinary = 0;
  #lastId = 0;

  constructor(instance: DatabaseInstance) {
    this.#instance = instance;
    this.server = createServer((socket) => this.#accept(socket));
  }

  take(): boolean {
    if (this.#ordinary >= this.#instance.settings.connections) return false;
    this.#ordinary += 1;
    return true;
  }

  cancel(key: CancelKey): void {
    const [session, own] = this.#sessions.get(key.id) ?? [];
    if (own?.secret === key.secret) session?.cancel();
  }

  serve(start: SessionStart, key: CancelKey): void {
    const session = new Session(this.#instance, start);
    this.#sessions.set(start.id, [session, key]);
    start.socket.once("close", () => {
      this.#sessions.delete(start.id);
      if (!start.control) this.#ordinary -= 1;
    });
    session.run().catch((error) => this.#instance.crash(error));
  }

  #accept(socket: Socket): void {
    socket.setNoDelay(true);
    socket.on("error", () => socket.destroy());
    this.#lastId += 1;
    greet(this.#instance, this, socket, this.#lastId);
  }
}
