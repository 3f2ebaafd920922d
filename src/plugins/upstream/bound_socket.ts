/**
 * Sockets that connect from a given local IP number.
 *
 * @module
 */
import { Socket } from "node:net";

/** A socket whose `connect(port, host)`, as `pg` calls it, binds to a local address first. */
export class BoundSocket extends Socket {
  readonly #localAddress: string;

  constructor(localAddress: string) {
    super();
    this.#localAddress = localAddress;
  }

  override connect(...args: unknown[]): this {
    const [port, host] = args;
    if (typeof port !== "number" || typeof host !== "string") {
      throw new TypeError("expected a port and a host");
    }
    const localAddress = this.#localAddress;
    return super.connect({ port, host, localAddress });
  }
}
