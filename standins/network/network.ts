/**
 * Links from listening addresses to targets, under a table of faults.
 *
 * @module
 */
import { createServer, type Server, type Socket } from "node:net";
import { z } from "zod";
import { listen } from "../common/daemon.ts";
import {
  BlackHole,
  type Connection,
  Relay,
  type Route,
  type Traffic,
} from "./connection.ts";
import { DelayClock } from "./delay_clock.ts";
import { type Fault, faultListSchema, FaultTable } from "./faults.ts";
import type { NetworkHost, PathState } from "./faults.ts";

const linkSchema = z.strictObject({
  /** Unique in the process. */
  id: z.string().min(1),
  listenHost: z.ipv4(),
  /** 0 takes a free one. */
  listenPort: z.number().int().min(0).max(65535),
  targetHost: z.ipv4(),
  targetPort: z.number().int().min(1).max(65535),
  /** Name and zone of the target. */
  name: z.string().min(1),
  zone: z.string().min(1),
});

const sourceSchema = z.strictObject({
  /** An IP number, or a prefix of IP numbers that ends with a dot. */
  ip: z.string().min(1),
  name: z.string().min(1),
  zone: z.string().min(1),
});

/** Schema of what a network process is told to do. */
export const topologySchema = z.strictObject({
  links: z.array(linkSchema),
  /** Rules for the host and zone of a source; the first that matches counts. */
  sources: z.array(sourceSchema),
});

/** A link to a target. */
export type Link = Readonly<z.infer<typeof linkSchema>>;
/** A rule for the host and zone of a source. */
export type Source = Readonly<z.infer<typeof sourceSchema>>;
/** Links and rules. */
export interface Topology {
  readonly links: readonly Link[];
  readonly sources: readonly Source[];
}

const UNKNOWN_SOURCE: NetworkHost = { name: "client", zone: "clients" };

/** Passes connections on between hosts and injects faults. */
export class Network {
  readonly #servers = new Map<string, Server>();
  readonly #links = new Map<string, Link>();
  readonly #connections = new Set<Connection>();
  readonly #traffic = new Map<string, Traffic>();
  readonly #clock = new DelayClock();
  #sources: readonly Source[] = [];
  #faults = new FaultTable([]);

  /** The links in use, with the ports that were taken. */
  get links(): readonly Link[] {
    return [...this.#links.values()];
  }

  /** Adds the links that are new, points known ones at their target, and takes the rules. */
  async configure(topology: Topology): Promise<void> {
    this.#sources = topology.sources;
    for (const link of topology.links) {
      const known = this.#links.get(link.id);
      if (known) {
        const { listenHost, listenPort } = known;
        this.#links.set(link.id, { ...link, listenHost, listenPort });
        continue;
      }
      await this.#open(link);
    }
  }

  /** Puts a list of faults in place of the one in effect. */
  setFaults(list: readonly Fault[]): void {
    this.#faults = new FaultTable(faultListSchema.parse(list));
    for (const connection of this.#connections) {
      const { source, target } = connection.route;
      connection.apply(this.#faults.path(source, target));
    }
  }

  /** The faults in effect and the traffic between hosts. */
  describe(): Readonly<Record<string, unknown>> {
    return {
      faults: this.#faults.list,
      open: this.#connections.size,
      traffic: Object.fromEntries(this.#traffic),
    };
  }

  /** Closes all links and connections. */
  stop(): void {
    for (const server of this.#servers.values()) server.close();
    for (const connection of this.#connections) connection.close();
  }

  async #open(link: Link): Promise<void> {
    const options = { allowHalfOpen: true, noDelay: true };
    const server = createServer(
      options,
      (socket) => this.#accept(link.id, socket),
    );
    const { port } = await listen(server, link.listenHost, link.listenPort);
    this.#servers.set(link.id, server);
    this.#links.set(link.id, { ...link, listenPort: port });
  }

  #accept(id: string, socket: Socket): void {
    const link = this.#links.get(id)!;
    const source = this.#sourceOf(socket.remoteAddress ?? "");
    const target: NetworkHost = { name: link.name, zone: link.zone };
    const route: Route = {
      source,
      target,
      host: link.targetHost,
      port: link.targetPort,
      traffic: this.#trafficOf(source, target),
    };
    route.traffic.connections += 1;
    const path = this.#faults.path(source, target);
    if (path.unreachable && path.reset) {
      socket.on("error", () => undefined);
      socket.resetAndDestroy();
      return;
    }
    const connection = this.#connect(route, socket, path);
    this.#connections.add(connection);
    void connection.closed.then(() => this.#connections.delete(connection));
  }

  #connect(route: Route, socket: Socket, path: PathState): Connection {
    if (path.unreachable) return new BlackHole(route, socket);
    const relay = new Relay(route, socket, path, this.#clock);
    if (this.#faults.takeLostReply(route.source, route.target)) {
      relay.loseAnswers();
    }
    return relay;
  }

  #sourceOf(ip: string): NetworkHost {
    const found = this.#sources.find((source) =>
      source.ip.endsWith(".") ? ip.startsWith(source.ip) : ip === source.ip
    );
    return found ?? UNKNOWN_SOURCE;
  }

  #trafficOf(source: NetworkHost, target: NetworkHost): Traffic {
    const key = `${source.name} > ${target.name}`;
    const known = this.#traffic.get(key);
    if (known) return known;
    const traffic = { connections: 0, requestBytes: 0, answerBytes: 0 };
    this.#traffic.set(key, traffic);
    return traffic;
  }
}
