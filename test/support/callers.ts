/**
 * Callers for tests: connections of the `pg` library to a proxy of a stack.
 *
 * @module
 */
import pg from "pg";
import type { StackDescription } from "../../standins/stack/options.ts";

/** How to connect. */
export interface CallerOptions {
  readonly stack: StackDescription;
  /** Index of the proxy; default 0. */
  readonly proxy?: number;
  readonly database: string;
  /** Startup options, such as `-c marjoramshed.position=1/2`. */
  readonly options?: string;
  readonly name?: string;
}

/** The account's connection parameters for a proxy. */
export function callerParameters(options: CallerOptions): pg.ClientConfig {
  const { stack, database } = options;
  const { host, port } = stack.proxies[options.proxy ?? 0]!;
  return {
    host,
    port,
    user: stack.user,
    password: stack.password,
    database,
    ...(options.options ? { options: options.options } : {}),
    ...(options.name ? { application_name: options.name } : {}),
  };
}

/** Opens a connection; an error while it is idle is kept from ending the test. */
export async function connectCaller(
  options: CallerOptions,
): Promise<pg.Client> {
  const client = new pg.Client(callerParameters(options));
  client.on("error", () => {});
  await client.connect();
  return client;
}

/** The error of a promise that is expected to fail. */
export async function failureOf(
  work: Promise<unknown>,
): Promise<pg.DatabaseError> {
  try {
    await work;
  } catch (error) {
    return error as pg.DatabaseError;
  }
  throw new Error("it did not fail");
}
