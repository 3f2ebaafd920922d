/**
 * Stand-in for the table service: a daemon that speaks the DynamoDB protocol.
 *
 * @module
 */
import { z } from "zod";
import {
  announceReady,
  daemonFlags,
  listen,
  readFlags,
  stopOnSignal,
} from "../common/daemon.ts";
import { FaultInjectionServer } from "../common/fault_injection_server.ts";
import { handleRequest } from "./protocol.ts";
import { Tables } from "./tables.ts";

const flags = readFlags({
  ...daemonFlags,
  /** Name of the key attribute of every table. */
  keyAttribute: z.string().min(1).default("key"),
});
const tables = new Tables(flags.keyAttribute);
const daemon = new FaultInjectionServer((request) =>
  handleRequest(tables, request)
);
const { port } = await listen(daemon.server, flags.address, flags.port);
stopOnSignal(() => daemon.stop());
announceReady(flags.address, port);
