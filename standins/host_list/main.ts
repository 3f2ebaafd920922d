/**
 * Stand-in for the host list: JSON over HTTP, with a configurable lag.
 *
 * - `GET /hosts` returns the list as of `lagMs` ago, as `{hosts: [...]}`;
 * - `PUT /hosts` replaces the whole list by `{hosts: [...]}`;
 * - `PUT /hosts/NAME` adds or replaces a host, `PATCH /hosts/NAME` sets its
 *   `{state}`;
 * - `DELETE /hosts/NAME` removes a host.
 *
 * @module
 */
import { z } from "zod";
import {
  hostListSchema,
  hostSchema,
} from "../../src/plugins/host_list/http_host_list.ts";
import type { Host } from "../../src/plugins/host_list/host_list.ts";
import {
  announceReady,
  daemonFlags,
  listen,
  readFlags,
  stopOnSignal,
} from "../common/daemon.ts";
import {
  FaultInjectionServer,
  type HttpRequest,
  type HttpResponse,
  jsonResponse,
  parseJson,
} from "../common/fault_injection_server.ts";

interface HostListVersion {
  readonly createdAt: number;
  readonly hosts: readonly Host[];
}

const patchSchema = hostSchema.pick({ state: true });
let versions: readonly HostListVersion[] = [{
  createdAt: -Infinity,
  hosts: [],
}];

function currentHosts(): readonly Host[] {
  return versions.at(-1)!.hosts;
}

function visibleHosts(lagMs: number): readonly Host[] {
  const cutoff = performance.now() - lagMs;
  const visibleIndex = versions.findLastIndex((version) =>
    version.createdAt <= cutoff
  );
  if (lagMs === 0) versions = versions.slice(visibleIndex);
  return versions[lagMs === 0 ? 0 : Math.max(visibleIndex, 0)]!.hosts;
}

function replaceHosts(operation: string, hosts: readonly Host[]): HttpResponse {
  versions = [...versions, { createdAt: performance.now(), hosts }];
  return jsonResponse(200, operation, { hosts }, true);
}

function handleHostRequest(name: string, request: HttpRequest): HttpResponse {
  const others = currentHosts().filter((host) => host.name !== name);
  const found = currentHosts().find((host) => host.name === name);
  switch (request.method) {
    case "PUT": {
      const host = hostSchema.parse(parseJson(request.body));
      return replaceHosts("put host", [...others, host]);
    }
    case "PATCH": {
      const patch = patchSchema.parse(parseJson(request.body));
      if (!found) return jsonResponse(404, "patch", { error: "no such host" });
      return replaceHosts("patch host", [...others, { ...found, ...patch }]);
    }
    case "DELETE":
      return replaceHosts("delete host", others);
    default:
      return jsonResponse(405, "other", { error: "unsupported method" });
  }
}

function handleRequest(request: HttpRequest, lagMs: number): HttpResponse {
  if (request.path.startsWith("/hosts/")) {
    return handleHostRequest(request.path.slice("/hosts/".length), request);
  }
  if (request.path !== "/hosts") {
    return jsonResponse(404, "other", { error: "no such path" });
  }
  if (request.method === "PUT") {
    const list = hostListSchema.parse(parseJson(request.body));
    return replaceHosts("put list", list.hosts);
  }
  return jsonResponse(200, "get list", { hosts: visibleHosts(lagMs) });
}

const flags = readFlags({
  ...daemonFlags,
  /** Time until a change becomes visible, in ms. */
  lag: z.coerce.number().min(0).default(0),
});
const daemon = new FaultInjectionServer((request, faults) => {
  try {
    return handleRequest(request, faults.lagMs);
  } catch (error) {
    if (!(error instanceof z.ZodError)) throw error;
    return jsonResponse(400, "other", { error: error.message });
  }
}, { lagMs: flags.lag });
const { port } = await listen(daemon.server, flags.address, flags.port);
stopOnSignal(() => daemon.stop());
announceReady(flags.address, port);
