/**
 * Callers that keep their side of a closed connection open.
 *
 * @module
 */
import { describe, it } from "node:test";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { expect } from "earl";
import { CallerConnection } from "../../platform/caller_connection.ts";
import { eventually } from "../support/eventually.ts";

const CALLERS = 20;

describe("callers whose connections were closed", () => {
  // Guards against descriptors that refused callers hold for as long as they like.
  it("hold no descriptors although they keep their side open and go on sending", async () => {
    const accepted = new Set<Socket>();
    const server = createServer({ allowHalfOpen: true }, (socket) => {
      accepted.add(socket);
      socket.once("close", () => accepted.delete(socket));
      const connection = new CallerConnection(socket);
      void connection.readStartup(1_000).then(() => {
        connection.accept();
        connection.close();
      });
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const received: string[] = [];
    const callers = Array.from({ length: CALLERS }, (_, index) => {
      const caller = connect({
        port,
        host: "127.0.0.1",
        allowHalfOpen: true,
      });
      received[index] = "";
      caller.on("data", (chunk) => {
        received[index] += String(chunk);
      });
      caller.on("error", () => {});
      caller.write("STARTUP booking key\r\n");
      caller.write("QUERY 1 READ a\r\n".repeat(100));
      return caller;
    });
    try {
      await eventually(() =>
        received.every((text) => text === "READY I -\r\n")
      );
      await eventually(() => accepted.size === 0, "no descriptor is held");
    } finally {
      for (const caller of callers) caller.destroy();
      server.close();
    }
    expect(received.length).toEqual(CALLERS);
  });
});
