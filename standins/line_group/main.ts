/**
 * Stand-in of one database group on the users' platform: its instances listen
 * on ports of their own, write their entries to the store's stand-in, and obey
 * a control address.
 *
 * @module
 */
import { createServer as createHttpServer } from "node:http";
import { createServer, type Server, type Socket } from "node:net";
import { z } from "zod";
import {
  announceReady,
  daemonFlags,
  listen,
  readFlags,
  stopOnSignal,
} from "../common/daemon.ts";
import { Connection } from "./connection.ts";
import { Group, type Member } from "./group.ts";

const HEARTBEAT_MS = 400;

const flags = readFlags({
  ...daemonFlags,
  /** Name of the group. */
  name: z.string().min(1),
  /** Control address of the store's stand-in, `host:port`. */
  store: z.string().min(1),
  /** Availability zones, comma-separated: one instance in each. */
  zones: z.string().min(1),
  /** Time by which replicas show a commit later than the primary, in ms. */
  lag: z.coerce.number().min(0).default(20),
  /** Time from a statement's run to its answer, in ms. */
  workTime: z.coerce.number().min(0).default(0),
  /** Connections that an instance accepts. */
  maxConnections: z.coerce.number().int().min(1).default(10_000),
  /** Time that a promotion takes, in ms. */
  promoteTime: z.coerce.number().min(0).default(150),
});
const zones = flags.zones.split(",");
const group = new Group(
  zones.map((_, index) => `i-${flags.name}-${index}`),
  flags.lag,
  flags.promoteTime,
);
const ports = new Map<string, number>();
const sockets = new Map<string, Set<Socket>>();
const listeners = new Map<string, Server>();
let sequence = 0;

for (const member of group.members) await open(member);

const control = createHttpServer((request, response) => {
  const [, action = "", id = "", value] = (request.url ?? "/").split("/");
  void obey(action, id, value).then((done) => {
    response.writeHead(done ? 200 : 409);
    response.end(JSON.stringify(group.members.map((member) => ({
      ...member,
      port: ports.get(member.id),
    }))));
  });
});
const { port } = await listen(control, flags.address, flags.port);
await tell({ groups: { [flags.name]: `${flags.address}:${port}` } });
setInterval(() => void beat(), HEARTBEAT_MS);
await beat();
stopOnSignal(() => {
  for (const server of listeners.values()) server.close();
});
announceReady(flags.address, port);

/** Listens for one instance, at the port that it had before. */
function open(member: Member): Promise<void> {
  const connected = sockets.get(member.id) ?? new Set<Socket>();
  sockets.set(member.id, connected);
  const server = createServer((socket) => {
    connected.add(socket);
    socket.on("close", () => connected.delete(socket));
    new Connection(group, member, socket, flags);
  });
  listeners.set(member.id, server);
  return new Promise((resolve) => {
    server.listen(ports.get(member.id) ?? 0, flags.address, () => {
      const address = server.address();
      if (typeof address === "object" && address) {
        ports.set(member.id, address.port);
      }
      resolve();
    });
  });
}

async function obey(
  action: string,
  id: string,
  value: string | undefined,
): Promise<boolean> {
  const member = group.member(id);
  if (action === "promote") {
    return member ? await group.promote(member) : false;
  }
  if (!member) return true;
  switch (action) {
    case "kill":
      member.reach = "dead";
      listeners.get(id)?.close();
      for (const socket of sockets.get(id)!) socket.resetAndDestroy();
      return true;
    case "darken":
      member.reach = "dark";
      return true;
    case "revive":
      if (member.reach === "dead") await open(member);
      member.reach = "up";
      return true;
    case "delay":
      member.delay = Number(value);
      return true;
    case "deafen":
      member.deaf = true;
      return true;
    case "undeafen":
      member.deaf = false;
      return true;
    case "leave":
      member.leaving = true;
      await beat();
      return true;
  }
  return false;
}

/** Writes the entries of the instances that live. */
async function beat(): Promise<void> {
  sequence += 1;
  const alive = group.members.filter(({ reach }) => reach === "up");
  await tell({
    transaction: {
      puts: alive.map((member) => ({
        table: "servers",
        key: member.id,
        value: Buffer.from(JSON.stringify({
          service: flags.name,
          address: `${flags.address}:${ports.get(member.id)}`,
          zone: zones[group.members.indexOf(member)],
          version: "v1",
          capacity: 3,
          state: member.leaving ? "draining" : "ready",
          coldRemainingMs: 0,
          dbRole: member.role,
          born: 1,
          sequence,
        })).toString("base64"),
      })),
    },
  });
}

async function tell(body: unknown): Promise<void> {
  await fetch(`http://${flags.store}/`, {
    method: "POST",
    body: JSON.stringify(body),
  });
}
