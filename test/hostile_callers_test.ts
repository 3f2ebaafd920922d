/**
 * Callers of the PostgreSQL protocol that send junk: each loses its own connection.
 *
 * @module
 */
import { connect } from "node:net";
import type { Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { createStack, type Stack } from "../standins/stack/stack.ts";
import { connectCaller } from "./support/callers.ts";

const DATABASE = "booking";
const SEED = 20_261_204;
const CLOSE_TIMEOUT_MS = 300;

const bytes = fc.uint8Array({ maxLength: 300 }).map((part) =>
  Buffer.from(part)
);

/** A message with a plausible type and a length that may be wrong. */
const message = fc.tuple(
  fc.constantFrom(..."QPBDESCHXfdcp!"),
  fc.oneof(fc.constant(undefined), fc.integer({ min: 0, max: 0xffffffff })),
  bytes,
).map(([type, length, body]) => {
  const head = Buffer.alloc(5);
  head.write(type, "latin1");
  head.writeUInt32BE(length ?? body.length + 4, 1);
  return Buffer.concat([head, body]);
});

/** A first packet with a known code or none. */
const startup = fc.tuple(
  fc.constantFrom(196608, 80877102, 80877103, 80877104, 0, 0x7fffffff),
  fc.oneof(fc.constant(undefined), fc.integer({ min: 0, max: 20_000 })),
  bytes,
).map(([code, length, body]) => {
  const head = Buffer.alloc(8);
  head.writeUInt32BE(length ?? body.length + 8, 0);
  head.writeUInt32BE(code, 4);
  return Buffer.concat([head, body]);
});

function closed(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => socket.destroy(), CLOSE_TIMEOUT_MS);
    socket.on("error", () => {});
    socket.resume();
    socket.once("close", () => {
      clearTimeout(timer);
      resolve();
    });
  });
}

describe("callers that send junk", () => {
  let running: Stack;

  before(async () => {
    running = await createStack({
      databases: [DATABASE],
      proxies: 1,
      logLevel: "error",
    });
  });
  after(() => running?.stop());

  /** The caller of another session, which was opened before the junk. */
  async function whileServing(
    send: () => Promise<void>,
  ): Promise<void> {
    const stack = running.describe();
    const earlier = await connectCaller({ stack, database: DATABASE });
    await send();
    const later = await connectCaller({ stack, database: DATABASE });
    for (const client of [earlier, later]) {
      const { rows } = await client.query("SELECT 1 AS one");
      expect(rows).toEqual([{ one: 1 }]);
      await client.end();
    }
  }

  it("before the handshake end their own connection alone", async () => {
    await whileServing(() =>
      fc.assert(
        fc.asyncProperty(
          fc.array(fc.oneof(startup, message, bytes), { maxLength: 4 }),
          async (parts) => {
            const { host, port } = running.describe().proxies[0]!;
            const socket = connect({ host, port });
            const ended = closed(socket);
            for (const part of parts) socket.write(part);
            socket.end();
            await ended;
          },
        ),
        { seed: SEED, numRuns: 150 },
      )
    );
  });

  it("after the handshake end their own session alone", async () => {
    await whileServing(() =>
      fc.assert(
        fc.asyncProperty(
          fc.array(fc.oneof(message, bytes), { maxLength: 6 }),
          async (parts) => {
            const stack = running.describe();
            const client = await connectCaller({ stack, database: DATABASE });
            const { stream } = (client as unknown as {
              readonly connection: { readonly stream: Socket };
            }).connection;
            stream.removeAllListeners();
            const ended = closed(stream);
            for (const part of parts) stream.write(part);
            stream.end();
            await ended;
          },
        ),
        { seed: SEED, numRuns: 60 },
      )
    );
  });
});
