/**
 * The platform's lagging list of live and leaving hosts.
 *
 * @module
 */

/** What a listed host runs. */
export type HostKind = "proxy" | "instance";

/** One host of the list. */
export interface Host {
  readonly name: string;
  readonly kind: HostKind;
  readonly zone: string;
  /** Host and port: the peer endpoint of a proxy, the address of an instance. */
  readonly endpoint: string;
  readonly state: "live" | "leaving";
}

/** Polls the list; keeps the last one while the list is down. */
export interface HostList {
  /** The last list that was read; empty before the first. */
  hosts(): readonly Host[];
  /** Whether an instance of this name is listed as leaving. */
  isLeaving(instance: string): boolean;
  /** Calls back when the list has changed; gives a function that ends it. */
  subscribe(listener: () => void): () => void;
}

declare module "../../kernel/kernel.ts" {
  interface Services {
    host_list: HostList;
  }
}
