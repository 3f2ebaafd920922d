/**
 * Resolves the endpoint of each host of a stack: a link of the network if the
 * stack has a network, else the host's own address.
 *
 * @module
 */
import type { Link } from "../network/network.ts";
import type { Endpoint } from "./address_space.ts";
import type { DaemonProcess } from "./daemon_process.ts";
import { type HostPlan, linkId, type ProxyPlan, realEndpoint } from "./plan.ts";

/** Endpoints of the links of the running networks. */
export class Routes {
  readonly #links = new Map<string, Endpoint>();

  /** Adds the links that a network simulator has opened. */
  addLinks(network: DaemonProcess): void {
    for (const link of network.ready["links"] as readonly Link[]) {
      const { listenHost, listenPort } = link;
      this.#links.set(link.id, { host: listenHost, port: listenPort });
    }
  }

  /** Resolves the endpoint at which other hosts reach a host. */
  resolve(host: HostPlan): Endpoint {
    return this.#links.get(linkId(host.name, "main")) ?? realEndpoint(host);
  }

  /** Resolves the endpoint at which peers reach a proxy. */
  resolvePeers(proxy: ProxyPlan): Endpoint {
    return this.#links.get(linkId(proxy.name, "peers")) ??
      { host: proxy.address, port: proxy.peerPort };
  }
}

/** Formats an endpoint as `host:port`. */
export function formatEndpoint(endpoint: Endpoint): string {
  return `${endpoint.host}:${endpoint.port}`;
}

/** The HTTP URL of an endpoint. */
export function urlOf(endpoint: Endpoint): string {
  return `http://${formatEndpoint(endpoint)}`;
}
