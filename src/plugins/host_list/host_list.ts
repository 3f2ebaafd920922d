/**
 * The platform's list of live and leaving hosts, which lags behind the actual state.
 *
 * @module
 */

/** What a host runs. */
export type HostKind = "proxy" | "instance";

/** An entry of the host list. */
export interface Host {
  readonly name: string;
  readonly kind: HostKind;
  readonly zone: string;
  /** Host and port: the peer endpoint of a proxy, the address of an instance. */
  readonly endpoint: string;
  readonly state: "live" | "leaving";
}

/** Polls the host list; keeps the last list while the service is unavailable. */
export interface HostList {
  /** Returns the last list that was read; empty before the first. */
  hosts(): readonly Host[];
  /** Whether the list shows an instance of this name as leaving. */
  isLeaving(instance: string): boolean;
  /** Calls the listener on each change of the list; returns a function that unsubscribes it. */
  subscribe(listener: () => void): () => void;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    host_list: HostList;
  }
}
