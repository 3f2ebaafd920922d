/**
 * Loopback addresses of a stack: every process gets its own in one network
 * 127.N.0.0/16, which no other stack on the machine has at the same time.
 *
 * @module
 */
import { once } from "node:events";
import { createServer, type Server } from "node:net";

const LOCK_PORT = 7431;
const FIRST_NETWORK = 16;
const NETWORKS = 224;

/** A host and a port. */
export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

/** Gives addresses of one network until it is released. */
export class AddressSpace {
  readonly #lock: Server;
  readonly #network: number;
  readonly #used = new Map<number, number>();

  constructor(lock: Server, network: number) {
    this.#lock = lock;
    this.#network = network;
  }

  /** The next address of a part of the network; parts keep the zones apart. */
  allocateAddress(part: number): string {
    const host = (this.#used.get(part) ?? 0) + 1;
    this.#used.set(part, host);
    return `127.${this.#network}.${part}.${host}`;
  }

  /** Lets others have the network. */
  release(): void {
    this.#lock.close();
  }
}

/** Takes a network that no other stack holds. */
export async function createAddressSpace(): Promise<AddressSpace> {
  for (let attempt = 0; attempt < NETWORKS; attempt += 1) {
    const network = FIRST_NETWORK + (process.pid + attempt) % NETWORKS;
    const lock = await tryListen(`127.${network}.0.1`, LOCK_PORT);
    if (lock) return new AddressSpace(lock, network);
  }
  throw new Error("no free loopback network for a stack");
}

/** A port that is free at an address. */
export async function findFreePort(host: string): Promise<number> {
  const server = createServer().listen(0, host);
  await once(server, "listening");
  const { port } = server.address() as { port: number };
  server.close();
  await once(server, "close");
  return port;
}

function tryListen(host: string, port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer((socket) => socket.destroy());
    server.once("error", () => resolve(undefined));
    server.listen(port, host, () => resolve(server));
    server.unref();
  });
}
