/**
 * Calls between the processes of the system, over trpc. Both sides prove that
 * they hold the shared key, and a message counts once at most.
 *
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { z } from "zod";
import type { Failure } from "../../kernel/result_codes.ts";

/** A procedure that peers may call. */
export interface PeerProcedure<Input, Output> {
  readonly name: string;
  readonly input: z.ZodType<Input>;
  readonly output: z.ZodType<Output>;
}

/** Answers a procedure. */
export type PeerHandler<Input, Output> = (
  input: Input,
) => Output | Promise<Output>;

/** Bytes on the wire since the start, both ways, headers of HTTP included. */
export interface PeerTraffic {
  readonly sent: number;
  readonly received: number;
}

/** Serves procedures to peers and calls theirs. */
export interface Peers {
  /** Host and port under which peers reach this process. */
  readonly endpoint: string;
  /** Port that this process listens on. */
  readonly port: number;
  /** Answers a procedure from now on. */
  serve<Input, Output>(
    procedure: PeerProcedure<Input, Output>,
    handler: PeerHandler<Input, Output>,
  ): void;
  /** Calls a procedure of the peer at `host:port`; fails after `timeout` ms with PEER_UNAVAILABLE, or with PEER_UNAUTHORIZED. */
  call<Input, Output>(
    endpoint: string,
    procedure: PeerProcedure<Input, Output>,
    input: Input,
    timeout: number,
  ): ResultAsync<Output, Failure>;
  traffic(): PeerTraffic;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    peers: Peers;
  }
}
