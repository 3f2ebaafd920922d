/**
 * What all stand-in daemons share: flags, the ready line and the stop signal.
 *
 * @module
 */
import type { AddressInfo, Server } from "node:net";
import { parseArgs } from "node:util";
import { z } from "zod";

/** Flags of every daemon. */
export const daemonFlags = {
  /** IP number to listen on and to connect from. */
  address: z.ipv4().default("127.0.0.1"),
  /** Port; 0 takes a free one. */
  port: z.coerce.number().int().min(0).max(65535).default(0),
};

/** Reads flags by a schema; a wrong one ends the process with code 2. */
export function readFlags<T extends z.ZodRawShape>(
  shape: T,
): z.infer<z.ZodObject<T>> {
  const names = Object.keys(shape);
  const options = Object.fromEntries(
    names.map((name) => [kebabCase(name), { type: "string" as const }]),
  );
  try {
    const values = parseArgs({ options, strict: true }).values;
    const raw = names
      .filter((name) => values[kebabCase(name)] !== undefined)
      .map((name) => [name, values[kebabCase(name)]]);
    return z.strictObject(shape).parse(Object.fromEntries(raw)) as z.infer<
      z.ZodObject<T>
    >;
  } catch (error) {
    console.error(error instanceof Error ? error.message : String(error));
    process.exit(2);
  }
}

/** Listens and resolves with the address in use. */
export function listen(
  server: Server,
  address: string,
  port: number,
): Promise<AddressInfo> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, address, () => {
      server.off("error", reject);
      resolve(server.address() as AddressInfo);
    });
  });
}

/** Prints the one line of JSON that says that the daemon is ready. */
export function announceReady(
  address: string,
  port: number,
  extraFields: Readonly<Record<string, unknown>> = {},
): void {
  const line = {
    ready: true,
    host: address,
    port,
    pid: process.pid,
    ...extraFields,
  };
  process.stdout.write(JSON.stringify(line) + "\n");
}

/** Stops on SIGTERM and SIGINT, and ends the process with code 0. */
export function stopOnSignal(stop: () => Promise<void> | void): void {
  const handle = async () => {
    await stop();
    process.exit(0);
  };
  process.once("SIGTERM", handle);
  process.once("SIGINT", handle);
}

function kebabCase(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => "-" + letter.toLowerCase());
}
