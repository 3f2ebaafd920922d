/**
 * Stand-in of the users' platform: the metadata store and the call that
 * promotes. It has one door for each host, so that a fault can concern one host
 * alone, and a door of the operator's that never fails.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { z } from "zod";
import {
  announceReady,
  daemonFlags,
  listen,
  readFlags,
  stopOnSignal,
} from "../common/daemon.ts";
import { type Copy, Rows, type Transaction } from "./rows.ts";
import {
  FOREIGN_TABLES,
  PLATFORM_LIMITS,
  type StoreAnswer,
  StoreApi,
} from "./store_api.ts";

/** How a door behaves; `busy` answers 503, `many` answers 429. */
type Mode = "up" | "silent" | "busy" | "many" | "reset" | "lost";

const flags = readFlags({
  ...daemonFlags,
  /** Doors for hosts, besides the operator's. */
  doors: z.coerce.number().int().min(1).default(2),
  /** Rows of one page of a read. */
  "page-rows": z.coerce.number().int().min(1).default(PLATFORM_LIMITS.pageRows),
});
const rows = new Rows();
const store = new StoreApi(rows, {
  ...PLATFORM_LIMITS,
  pageRows: flags["page-rows"],
});
/** Delay before the operator and the instances write again what a copy lacks, in ms. */
const REWRITE_DELAY_MS = 600;

/** The copy that the store comes back from. */
let copy: Copy | undefined;
const modes: Mode[] = [];
/** Control address of each group, for promotions. */
const groups = new Map<string, string>();
const promotions: Record<string, unknown>[] = [];

const control = createServer((request, response) =>
  void serveControl(request, response)
);
const { port } = await listen(control, flags.address, flags.port);
const doors: Server[] = [];
const doorPorts: number[] = [];
for (let index = 0; index < flags.doors; index += 1) {
  const door = createServer((request, response) =>
    void serveDoor(index, request, response)
  );
  modes.push("up");
  doors.push(door);
  doorPorts.push((await listen(door, flags.address, 0)).port);
}
stopOnSignal(() => {
  for (const server of [control, ...doors]) server.closeAllConnections();
});
announceReady(flags.address, port, { doors: doorPorts });

async function serveDoor(
  index: number,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readBody(request);
  const mode = modes[index]!;
  if (mode === "silent") return;
  if (mode === "reset") return void request.socket.resetAndDestroy();
  if (mode === "busy") return reply(response, 503, {});
  if (mode === "many") return reply(response, 429, {});
  const answer = await serveStore(request, body);
  // A door may be shut while a call waits.
  if (modes[index] === "silent") return;
  if (mode === "lost" && request.method === "POST") {
    return void request.socket.destroy();
  }
  reply(response, answer.status, answer.body, answer.headers);
}

async function serveStore(
  request: IncomingMessage,
  body: unknown,
): Promise<StoreAnswer> {
  const url = new URL(request.url ?? "/", "http://store");
  if (url.pathname === "/promote") return await promote(request, body);
  return await store.serve(url, body) ?? { status: 404, body: {} };
}

async function promote(
  request: IncomingMessage,
  body: unknown,
): Promise<StoreAnswer> {
  const { service, id } = body as { service: string; id: string };
  const order = {
    service,
    id,
    holder: request.headers["marjoramshed-lease-holder"],
    token: Number(request.headers["marjoramshed-fencing-token"]),
  };
  promotions.push(order);
  const address = groups.get(service);
  if (!address) return { status: 409, body: {} };
  const done = await fetch(`http://${address}/promote/${id}`, {
    method: "POST",
  });
  return { status: done.status, body: {} };
}

/** The test's own door: rows of the operator and the instances, modes, and what was ordered. */
async function serveControl(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readBody(request) as {
    readonly transaction?: Transaction;
    readonly modes?: readonly Mode[];
    readonly groups?: Readonly<Record<string, string>>;
    readonly forget?: boolean;
    /** `copy` keeps a copy; `restore` comes back from it, with the next era. */
    readonly drill?: "copy" | "restore";
  };
  if (body?.transaction) rows.apply(body.transaction);
  body?.modes?.forEach((mode, index) => {
    modes[index] = mode;
  });
  for (const [name, address] of Object.entries(body?.groups ?? {})) {
    groups.set(name, address);
  }
  if (body?.forget) rows.forget();
  if (body?.drill === "copy") copy = rows.copy();
  if (body?.drill === "restore" && copy) restore(copy);
  reply(response, 200, {
    promotions,
    rows: rows.read("marjoramshed", ""),
  });
}

/** Comes back from a copy; the operator and the instances write again what it lacks. */
function restore(from: Copy): void {
  const lost = FOREIGN_TABLES.map((table) => rows.differenceFrom(from, table));
  rows.restore(from);
  setTimeout(() => {
    for (const transaction of lost) rows.apply(transaction);
  }, REWRITE_DELAY_MS);
}

async function readBody(request: IncomingMessage): Promise<unknown> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part);
  const text = Buffer.concat(parts).toString("utf8");
  return text === "" ? undefined : JSON.parse(text);
}

function reply(
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  response.writeHead(status, {
    "content-type": "application/json",
    ...headers,
  });
  response.end(JSON.stringify(body));
}
