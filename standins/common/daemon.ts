/**
 * Shared code of the stand-in daemons: flags, the ready line and shutdown on a
 * signal.
 *
 * @module
 */
import type { AddressInfo, Server } from "node:net";
import { parseArgs } from "node:util";
import { z } from "zod";

/** Flags of every daemon. */
export const daemonFlags = {
  /** IP address to listen on and to connect from. */
  address: z.ipv4().default("127.0.0.1"),
  /** Port; 0 selects a free port. */
  port: z.coerce.number().int().min(0).max(65535).default(0),
};

/** Parses the command-line flags by a schema; exits with code 2 on an invalid flag. */
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

/** Starts listening and resolves with the bound address. */
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

/** Prints the line of JSON that announces that the daemon is ready. */
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

/** Calls `stop` on SIGTERM or SIGINT, then exits with code 0. */
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
