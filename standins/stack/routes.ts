/**
 * Where each host of a stack is reached: through the network when there is
 * one, else at its own address.
 *
 * @module
 */
import type { Link } from "../network/network.ts";
import type { Endpoint } from "./address_space.ts";
import type { DaemonProcess } from "./daemon_process.ts";
import { type HostPlan, linkId, type ProxyPlan, realEndpoint } from "./plan.ts";

/** The links of the running networks. */
export class Routes {
  readonly #links = new Map<string, Endpoint>();

  /** Takes the links that a network's process has opened. */
  add(network: DaemonProcess): void {
    for (const link of network.ready["links"] as readonly Link[]) {
      const { listenHost, listenPort } = link;
      this.#links.set(link.id, { host: listenHost, port: listenPort });
    }
  }

  /** Where others reach a host. */
  of(host: HostPlan): Endpoint {
    return this.#links.get(linkId(host.name, "main")) ?? realEndpoint(host);
  }

  /** Where peers reach a proxy. */
  ofPeers(proxy: ProxyPlan): Endpoint {
    return this.#links.get(linkId(proxy.name, "peers")) ??
      { host: proxy.address, port: proxy.peerPort };
  }
}

/** Writes an endpoint as `host:port`. */
export function formatEndpoint(endpoint: Endpoint): string {
  return `${endpoint.host}:${endpoint.port}`;
}

/** The URL of an endpoint. */
export function urlOf(endpoint: Endpoint): string {
  return `http://${formatEndpoint(endpoint)}`;
}
