/**
 * Sockets that connect from a given local IP address.
 *
 * @module
 */
import { Socket } from "node:net";

/** A socket that binds to a local address on `connect(port, host)`, the form that `pg` calls. */
export class BoundSocket extends Socket {
  readonly #localAddress: string;

  constructor(localAddress: string) {
    super();
    this.#localAddress = localAddress;
  }

  override connect(...args: unknown[]): this {
    const [port, host] = args;
    if (typeof port !== "number" || typeof host !== "string") {
      throw new TypeError(
        "BoundSocket.connect expects a numeric port and a host name",
      );
    }
    const localAddress = this.#localAddress;
    return super.connect({ port, host, localAddress });
  }
}
