/**
 * An instance without an engine that only answers status requests, for any
 * database, so that a proxy can be measured with many groups. `GET /` on the
 * port that it prints as `counters` gives the bytes of all its connections.
 *
 * @module
 */
import { createServer as createHttpServer } from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { parseArgs } from "node:util";
import { PostgresConnection } from "pg-gateway";
import {
  BackendType,
  createCommandComplete,
  createMessage,
  createReadyForQuery,
  FrontendType,
} from "../src/plugins/wire/message.ts";

const { values: flags } = parseArgs({
  options: {
    name: { type: "string", default: "a" },
    address: { type: "string", default: "127.0.0.1" },
    role: { type: "string", default: "replica" },
    source: { type: "string", default: "" },
  },
});

const TEXT_TYPE = 25;
const INT8_TYPE = 20;
const BOOL_TYPE = 16;

const primary = flags.role === "primary";
const COLUMNS: readonly (readonly [string, number, string | null])[] = [
  ["role", TEXT_TYPE, flags.role],
  ["seen_term", INT8_TYPE, "1"],
  ["last_term", INT8_TYPE, "1"],
  ["term_starts", TEXT_TYPE, "1:0"],
  ["received", INT8_TYPE, "1000"],
  ["applied", INT8_TYPE, "1000"],
  ["source", TEXT_TYPE, primary ? null : flags.source],
  ["hears_source", BOOL_TYPE, primary ? "f" : "t"],
];
const ANSWER = Buffer.concat([
  describeRow(),
  encodeRow(),
  createCommandComplete("SELECT 1").data,
  createReadyForQuery("I").data,
]);

let bytes = 0;

function describeRow(): Buffer {
  const fields = COLUMNS.map(([name, type]) => {
    const rest = Buffer.alloc(18);
    rest.writeInt32BE(type, 6);
    rest.writeInt16BE(-1, 10);
    rest.writeInt32BE(-1, 12);
    return Buffer.concat([Buffer.from(name + "\0"), rest]);
  });
  return createMessage(
    BackendType.ROW_DESCRIPTION,
    Buffer.concat([int16(fields.length), ...fields]),
  ).data;
}

function encodeRow(): Buffer {
  const fields = COLUMNS.map(([, , value]) => {
    const length = Buffer.alloc(4);
    length.writeInt32BE(value === null ? -1 : value.length);
    return Buffer.concat([length, Buffer.from(value ?? "")]);
  });
  return createMessage(
    BackendType.DATA_ROW,
    Buffer.concat([int16(fields.length), ...fields]),
  ).data;
}

function int16(value: number): Buffer {
  const data = Buffer.alloc(2);
  data.writeInt16BE(value);
  return data;
}

function serve(socket: Socket): void {
  socket.setNoDelay(true);
  socket.on("error", () => {});
  socket.on("data", (data) => bytes += data.length);
  const write = socket.write.bind(socket) as (data: Buffer) => boolean;
  socket.write = ((data: Buffer) => {
    bytes += data.length;
    return write(data);
  }) as Socket["write"];
  new PostgresConnection(socket, {
    authMode: "none",
    onMessage: (data, { isAuthenticated }) => {
      if (!isAuthenticated || data[0] !== FrontendType.QUERY) return false;
      socket.write(ANSWER);
      return true;
    },
  });
}

const counters = createHttpServer((_, response) => {
  response.end(JSON.stringify({ bytes }));
});
const server = createServer(serve);
const { name, address } = flags;
counters.listen({ port: 0, host: address }, () => {
  server.listen({ port: 0, host: address }, () => {
    const ready = {
      ready: true,
      name,
      host: address,
      port: (server.address() as AddressInfo).port,
      counters: (counters.address() as AddressInfo).port,
      pid: process.pid,
    };
    process.stdout.write(JSON.stringify(ready) + "\n");
  });
});
process.on("SIGTERM", () => process.exit(0));
