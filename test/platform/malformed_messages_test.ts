/**
 * Malformed replies of the store and requests of peers: each costs one call.
 *
 * @module
 */
import { afterEach, describe, it } from "node:test";
import { createServer as createHttpServer } from "node:http";
import { type AddressInfo, connect, createServer } from "node:net";
import { expect } from "earl";
import fc from "fast-check";
import { StoreClient } from "../../platform/store_client.ts";
import type { EventLog } from "../../src/kernel/events.ts";
import { PlainPeers } from "../../src/plugins/peers/plain_peers.ts";
import { RELAY_CHANGES } from "../../src/plugins/relay/relayed_table.ts";

const SEED = 20_261_204;
const ADDRESS = "127.0.0.1";

const log = { write: () => {} } as unknown as EventLog;

const bytes = fc.uint8Array({ maxLength: 400 }).map((part) =>
  Buffer.from(part)
);

async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, ADDRESS, resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

describe("malformed messages", () => {
  const cleanups: (() => void)[] = [];
  afterEach(() => {
    for (const clean of cleanups.splice(0)) clean();
  });

  describe("from the store", () => {
    it("fails the call that it answers", async () => {
      let answer = Buffer.alloc(0);
      let status = 200;
      const server = createHttpServer((_request, response) => {
        response.writeHead(status).end(answer);
      });
      await new Promise<void>((resolve) => server.listen(0, ADDRESS, resolve));
      const { port } = server.address() as AddressInfo;
      const store = new StoreClient({ host: ADDRESS, port }, log);
      cleanups.push(() => {
        store.stop();
        server.closeAllConnections();
        server.close();
      });
      const row = fc.record({
        table: fc.oneof(fc.string(), fc.integer()),
        key: fc.oneof(fc.string(), fc.constant(null)),
        value: fc.oneof(fc.string(), fc.integer()),
        ver: fc.oneof(fc.integer(), fc.string()),
      }, { requiredKeys: [] });
      const body = fc.oneof(
        bytes.map((part) => part.toString("latin1")),
        fc.json(),
        fc.record({
          rows: fc.oneof(fc.array(row, { maxLength: 3 }), fc.string()),
          ver: fc.oneof(fc.integer(), fc.string()),
          nowMs: fc.oneof(fc.integer(), fc.constant(null)),
        }, { requiredKeys: [] }).map((value) => JSON.stringify(value)),
      );
      await fc.assert(
        fc.asyncProperty(
          body,
          fc.constantFrom(200, 200, 204, 302, 404, 410, 412, 429, 500, 503),
          async (text, code) => {
            answer = Buffer.from(text);
            status = code;
            const reply = await store.feed("marjoramshed", 1, 0);
            if (code !== 200) expect(reply.isErr()).toEqual(true);
            const write = { table: "marjoramshed", puts: { "host/p1": {} } };
            const written = await store.write(write);
            if (code !== 200) expect(written.isErr()).toEqual(true);
          },
        ),
        { seed: SEED, numRuns: 150 },
      );
    });
  });

  describe("from a peer", () => {
    it("is answered with an error, and the next call is served", async () => {
      const port = await freePort();
      const peers = new PlainPeers({ host: ADDRESS, port }, log);
      peers.serve(RELAY_CHANGES, () => ({
        confirmed: true,
        clock: 1,
        tables: [],
      }));
      await peers.start();
      cleanups.push(() => peers.stop());
      const question = { proxy: "p2", versions: {}, age: 0 };
      const path = fc.constantFrom(
        "/relay.changes",
        "/__proto__",
        "/constructor",
        "/relay",
        "/%00",
        "/a?b=%ff",
      );
      const request = fc.oneof(
        bytes,
        fc.tuple(path, fc.oneof(fc.json(), fc.string())).map(([name, body]) =>
          Buffer.from(
            `POST ${name} HTTP/1.1\r\nhost: x\r\n` +
              `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
          )
        ),
      );
      await fc.assert(
        fc.asyncProperty(request, async (data) => {
          const socket = connect({ host: ADDRESS, port });
          socket.on("error", () => {});
          socket.resume();
          socket.end(data);
          await new Promise((resolve) => socket.once("close", resolve));
        }),
        { seed: SEED, numRuns: 150 },
      );
      const called = await peers.call(
        `${ADDRESS}:${port}`,
        RELAY_CHANGES,
        question,
        1_000,
      );
      expect(called.isOk()).toEqual(true);
    });

    it("is an error of the call when the peer's address is invalid", async () => {
      const peers = new PlainPeers({ host: ADDRESS, port: 0 }, log);
      cleanups.push(() => peers.stop());
      const question = { proxy: "p2", versions: {}, age: 0 };
      for (const address of ["nonsense", "127.0.0.1:99999", ""]) {
        const called = await peers.call(address, RELAY_CHANGES, question, 100);
        expect(called.isErr()).toEqual(true);
      }
    });
  });
});
