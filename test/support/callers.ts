/**
 * Opens caller connections to a proxy of a stack with the `pg` library.
 *
 * @module
 */
import pg from "pg";
import type { StackDescription } from "../../standins/stack/options.ts";

/** Options of a caller connection. */
export interface CallerOptions {
  readonly stack: StackDescription;
  /** Index of the proxy; default 0. */
  readonly proxy?: number;
  readonly database: string;
  /** Startup options, such as `-c marjoramshed.position=1/2`. */
  readonly options?: string;
  readonly name?: string;
}

/** Connection parameters of the stack's account for a proxy. */
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

/** Opens a connection; ignores errors on the idle connection, which would end the test process. */
export async function connectCaller(
  options: CallerOptions,
): Promise<pg.Client> {
  const client = new pg.Client(callerParameters(options));
  client.on("error", () => {});
  await client.connect();
  return client;
}

/** Resolves with the error of a promise that is expected to reject; throws when the promise resolves. */
export async function failureOf(
  work: Promise<unknown>,
): Promise<pg.DatabaseError> {
  try {
    await work;
  } catch (error) {
    return error as pg.DatabaseError;
  }
  throw new Error("expected the promise to reject, but it resolved");
}
