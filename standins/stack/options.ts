/**
 * Options of a stack and the document that describes a running one.
 *
 * @module
 */
import type { Settings } from "../../src/kernel/settings.ts";
import type { Endpoint } from "./address_space.ts";

/** Names of the example deployments. */
export const exampleNames = ["kotacic", "fusayfisa"] as const;
/** Name of an example deployment. */
export type ExampleName = typeof exampleNames[number];

/** What a stack consists of. */
export interface StackOptions {
  /** Example deployment; default `kotacic`. */
  readonly example?: ExampleName;
  /** Number of proxies, over the zones in turn; default 4. */
  readonly proxies?: number;
  /** Databases to start; default all of the example. */
  readonly databases?: readonly string[];
  /** Puts the network's stand-in between all hosts; default false. */
  readonly network?: boolean;
  /** Sets the latencies of the deployment on the network; default false. */
  readonly latency?: boolean;
  /** Routing policy of the proxies; default `session`. */
  readonly policy?: Settings["policy"];
  /** How a write is acknowledged, in place of what the example says. */
  readonly acknowledge?: "majority" | "primary";
  /** Time that a replica takes to receive the log, in ms; default 0. */
  readonly receiveLagMs?: number;
  /** Time that a replica takes to apply the log, in ms; default 0. */
  readonly applyLagMs?: number;
  /** Time that an instance takes to open a connection, in ms; default 12. */
  readonly openDelayMs?: number;
  /** Time until the host list shows a change, in ms; default 1,000. */
  readonly hostListLagMs?: number;
  /** Level of the proxies' logs; default `info`. */
  readonly logLevel?: Settings["logLevel"];
}

/** A process and where others reach it. */
export interface ProcessDescription extends Endpoint {
  readonly pid: number;
}

/** A proxy of the stack. */
export interface ProxyDescription extends ProcessDescription {
  readonly name: string;
  readonly zone: string;
  /** Where peers reach it. */
  readonly peers: string;
  readonly metricsPort: number;
  /** Its own address, behind the network. */
  readonly real: Endpoint;
}

/** An instance of the stack. */
export interface InstanceDescription extends ProcessDescription {
  readonly name: string;
  readonly zone: string;
  /** Role at the start. */
  readonly role: "primary" | "replica";
  /** Its own address, behind the network. */
  readonly real: Endpoint;
}

/** A database group of the stack. */
export interface DatabaseDescription {
  readonly name: string;
  readonly instances: readonly InstanceDescription[];
}

/** A process of the platform. */
export interface PlatformServiceDescription extends ProcessDescription {
  /** Its own address, behind the network; takes `/_faults` in any case. */
  readonly real: Endpoint;
}

/** The control endpoint of the network's process for the targets of a zone. */
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
  /** Present when the stack has a network. */
  readonly network?: readonly NetworkDescription[];
}
