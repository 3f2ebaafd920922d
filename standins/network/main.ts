/**
 * The network's stand-in: a fault-injecting TCP proxy. It finds the source host
 * and its zone by the source's IP number, and connects to the target from that
 * same number, so that the target sees its true peer.
 *
 * Control over HTTP:
 * - `PUT /topology` takes `{links, sources}`, adds links that are new, and
 *   answers `{links}` with the ports that were taken;
 * - `PUT /faults` takes `{faults: [...]}` in place of the list in effect; the
 *   kinds are described in `faults.ts`. Healing is a list without the fault: new
 *   connections work, and connections that had turned into black holes are closed;
 * - `GET /faults` gives the faults in effect and the traffic between hosts.
 *
 * @module
 */
import { createServer, type IncomingMessage } from "node:http";
import { z } from "zod";
import {
  announceReady,
  daemonFlags,
  listen,
  readFlags,
  stopOnSignal,
} from "../common/daemon.ts";
import { faultListSchema } from "./faults.ts";
import { Network, topologySchema } from "./network.ts";

const faultsBody = z.strictObject({ faults: faultListSchema });

async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return JSON.parse(Buffer.concat(chunks).toString("utf8"));
}

async function answerControl(request: IncomingMessage): Promise<unknown> {
  if (request.method === "PUT" && request.url === "/topology") {
    await network.configure(topologySchema.parse(await readJson(request)));
    return { links: network.links };
  }
  if (request.method === "PUT" && request.url === "/faults") {
    network.setFaults(faultsBody.parse(await readJson(request)).faults);
  }
  return network.describe();
}

const flags = readFlags({
  ...daemonFlags,
  /** Links and rules as JSON, as `PUT /topology` takes them. */
  topology: z.string().default('{"links":[],"sources":[]}'),
});
const network = new Network();
await network.configure(topologySchema.parse(JSON.parse(flags.topology)));
const control = createServer(async (request, response) => {
  try {
    response.end(JSON.stringify(await answerControl(request)));
  } catch (error) {
    response.statusCode = 400;
    response.end(JSON.stringify({ error: String(error) }));
  }
});
const { port } = await listen(control, flags.address, flags.port);
stopOnSignal(() => network.stop());
announceReady(flags.address, port, { links: network.links });
