/**
 * Options of a stack and the description of a running stack.
 *
 * @module
 */
import type { Settings } from "../../src/kernel/settings.ts";
import type { Endpoint } from "./address_space.ts";

/** Names of the example deployments. */
export const exampleNames = ["kotacic", "fusayfisa"] as const;
/** Name of an example deployment. */
export type ExampleName = typeof exampleNames[number];

/** Options of a stack. */
export interface StackOptions {
  /** Example deployment; default `kotacic`. */
  readonly example?: ExampleName;
  /** Number of proxies, assigned to the zones round-robin; default 4. */
  readonly proxies?: number;
  /** Databases to start; default all of the example. */
  readonly databases?: readonly string[];
  /** Routes all connections between hosts through the network simulator; default false. */
  readonly network?: boolean;
  /** Applies the latencies of the example deployment to the network; default false. */
  readonly latency?: boolean;
  /** Routing policy of the proxies; default `session`. */
  readonly policy?: Settings["policy"];
  /** When a write is acknowledged; overrides the example's setting. */
  readonly acknowledge?: "majority" | "primary";
  /** Time that a replica takes to receive the log, in ms; default 0. */
  readonly receiveLagMs?: number;
  /** Time that a replica takes to apply the log, in ms; default 0. */
  readonly applyLagMs?: number;
  /** Time that an instance takes to open a connection, in ms; default 12. */
  readonly openDelayMs?: number;
  /** Time until the host list reports a change, in ms; default 1,000. */
  readonly hostListLagMs?: number;
  /** Log level of the proxies; default `info`. */
  readonly logLevel?: Settings["logLevel"];
}

/** A process and the endpoint through which other hosts reach the process. */
export interface ProcessDescription extends Endpoint {
  readonly pid: number;
}

/** A proxy of the stack. */
export interface ProxyDescription extends ProcessDescription {
  readonly name: string;
  readonly zone: string;
  /** Endpoint for peers, as `host:port`. */
  readonly peers: string;
  readonly metricsPort: number;
  /** The process's own endpoint, which bypasses the network. */
  readonly real: Endpoint;
}

/** An instance of the stack. */
export interface InstanceDescription extends ProcessDescription {
  readonly name: string;
  readonly zone: string;
  /** Role at startup. */
  readonly role: "primary" | "replica";
  /** The process's own endpoint, which bypasses the network. */
  readonly real: Endpoint;
}

/** A database group of the stack. */
export interface DatabaseDescription {
  readonly name: string;
  readonly instances: readonly InstanceDescription[];
}

/** A platform service of the stack. */
export interface PlatformServiceDescription extends ProcessDescription {
  /** The service's own endpoint, which bypasses the network; serves `/_faults` even while faults are active. */
  readonly real: Endpoint;
}

/** The control endpoint of the network simulator for the targets in a zone. */
export interface NetworkDescription extends ProcessDescription {
  readonly zone: string;
}

/** A running stack, as `npm run stack -- --json` prints it. */
export interface StackDescription {
  readonly user: string;
  readonly password: string;
  readonly environment: string;
  /** Shared key of the proxies. */
  readonly peerKey: string;
  readonly proxies: readonly ProxyDescription[];
  readonly databases: readonly DatabaseDescription[];
  readonly tableService: PlatformServiceDescription;
  readonly objectStore: PlatformServiceDescription;
  readonly hostList: PlatformServiceDescription;
  /** Control endpoints of the network simulators; present when the stack has a network. */
  readonly network?: readonly NetworkDescription[];
}
