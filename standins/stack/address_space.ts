/**
 * Allocates loopback addresses. Each process of a stack gets an address of its
 * own in a network 127.N.0.0/16 that the stack has reserved on this machine.
 *
 * @module
 */
import { once } from "node:events";
import { createServer, type Server } from "node:net";

const LOCK_PORT = 7431;
const FIRST_NETWORK_OCTET = 16;
const NETWORK_COUNT = 224;

/** Host and port of a TCP endpoint. */
export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

/** Allocates the addresses of one reserved loopback network. */
export class AddressSpace {
  readonly #lock: Server;
  readonly #network: number;
  readonly #lastHosts = new Map<number, number>();

  constructor(lock: Server, network: number) {
    this.#lock = lock;
    this.#network = network;
  }

  /** Allocates the next address of a /24 subnet; each zone has its own subnet. */
  allocateAddress(subnet: number): string {
    const host = (this.#lastHosts.get(subnet) ?? 0) + 1;
    this.#lastHosts.set(subnet, host);
    return `127.${this.#network}.${subnet}.${host}`;
  }

  /** Releases the network, so that another stack can reserve it. */
  release(): void {
    this.#lock.close();
  }
}

/** Reserves an unused network by listening on its lock port; throws when all are reserved. */
export async function createAddressSpace(): Promise<AddressSpace> {
  for (let attempt = 0; attempt < NETWORK_COUNT; attempt += 1) {
    const network = FIRST_NETWORK_OCTET +
      (process.pid + attempt) % NETWORK_COUNT;
    const lock = await tryListen(`127.${network}.0.1`, LOCK_PORT);
    if (lock) return new AddressSpace(lock, network);
  }
  throw new Error(
    "every loopback network 127.N.0.0/16 is reserved by another stack",
  );
}

/** Ports below those that the system gives to outgoing connections and to listeners without a port. */
const FIRST_PORT = 10_000;
const LAST_PORT = 31_999;

let nextPort = FIRST_PORT;

/** Finds a TCP port that is free on an address, and that nothing takes before its process listens. */
export async function findFreePort(host: string): Promise<number> {
  for (;;) {
    const port = nextPort;
    nextPort = port === LAST_PORT ? FIRST_PORT : port + 1;
    const server = await tryListen(host, port);
    if (!server) continue;
    server.close();
    await once(server, "close");
    return port;
  }
}

function tryListen(host: string, port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer((socket) => socket.destroy());
    server.once("error", () => resolve(undefined));
    server.listen(port, host, () => resolve(server));
    server.unref();
  });
}
