/**
 * Remote procedure calls among the proxies, and from the command line to them,
 * over tRPC. Client and server authenticate each other by a shared key, and a
 * request takes effect at most once.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { z } from "zod";
import type { Failure } from "../../kernel/result_codes.ts";

/** A remote procedure: its name and the schemas of its input and output. */
export interface PeerProcedure<Input, Output> {
  readonly name: string;
  readonly input: z.ZodType<Input>;
  readonly output: z.ZodType<Output>;
}

/** Handles calls of a procedure. */
export type PeerHandler<Input, Output> = (
  input: Input,
) => Output | Promise<Output>;

/** Bytes sent and received since the process started, including HTTP headers. */
export interface PeerTraffic {
  readonly sent: number;
  readonly received: number;
}

/** Serves procedures to peers and calls procedures of peers. */
export interface Peers {
  /** Host and port at which peers reach this process. */
  readonly endpoint: string;
  /** Port on which this process listens. */
  readonly port: number;
  /** Registers the handler of a procedure. */
  serve<Input, Output>(
    procedure: PeerProcedure<Input, Output>,
    handler: PeerHandler<Input, Output>,
  ): void;
  /** Calls a procedure of the peer at `host:port`; fails with PEER_UNAVAILABLE on an error or after `timeout` ms, and with PEER_UNAUTHORIZED if either side rejects the other's signature. */
  call<Input, Output>(
    endpoint: string,
    procedure: PeerProcedure<Input, Output>,
    input: Input,
    timeout: number,
  ): ResultAsync<Output, Failure>;
  /** Returns the traffic of all peer connections of this process. */
  traffic(): PeerTraffic;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    peers: Peers;
  }
}
