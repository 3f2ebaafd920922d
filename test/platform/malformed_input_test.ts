/**
 * Malformed and hostile input from every side: it costs the row or the connection
 * that it came with, and nothing else.
 *
 * @module
 */
import { afterEach, describe, it } from "node:test";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { expect } from "earl";
import fc from "fast-check";
import { CallerConnection } from "../../platform/caller_connection.ts";
import { parseConfiguration, parseInstance } from "../../platform/documents.ts";
import { LineConnector } from "../../platform/line_connector.ts";
import {
  AnswerReader,
  LINE_ENCODING,
  LineSplitter,
  parseStatement,
  parseStatus,
} from "../../platform/lines.ts";
import { clock } from "../../src/kernel/clock.ts";
import type { ListedInstance } from "../../src/plugins/deployment/instance_directory.ts";
import { eventually } from "../support/eventually.ts";
import { localInstance } from "./fixtures/local_instance.ts";

const SEED = 20_261_204;
const ADDRESS = "127.0.0.1";

const bytes = fc.uint8Array({ maxLength: 400 }).map((part) =>
  Buffer.from(part)
);

/** Lines of the protocol with fields left out, exchanged, repeated or cut. */
const nearlyValidLine = fc.array(
  fc.oneof(
    fc.constantFrom(
      "STARTUP",
      "QUERY",
      "BEGIN",
      "READ",
      "EXECUTE",
      "PREPARE",
      "COMMIT",
      "DATAROW",
      "COMPLETE",
      "ERROR",
      "READY",
      "I",
      "E",
      "-",
      "3.1207",
      "primary",
    ),
    fc.string({ unit: "binary", maxLength: 12 }),
  ),
  { maxLength: 8 },
).map((words) => Buffer.from(words.join(" ") + "\r\n", LINE_ENCODING));

const input = fc.array(fc.oneof(bytes, nearlyValidLine), { maxLength: 12 });

describe("malformed input", () => {
  const cleanups: (() => void)[] = [];
  afterEach(() => {
    for (const clean of cleanups.splice(0)) clean();
  });

  /** Listens with a handler for each connection; returns the port. */
  async function listen(handle: (socket: Socket) => void): Promise<number> {
    const sockets = new Set<Socket>();
    const server = createServer({ allowHalfOpen: true }, (socket) => {
      sockets.add(socket);
      socket.on("error", () => {});
      handle(socket);
    });
    await new Promise<void>((resolve) => server.listen(0, ADDRESS, resolve));
    cleanups.push(() => {
      server.close();
      for (const socket of sockets) socket.destroy();
    });
    return (server.address() as AddressInfo).port;
  }

  describe("of the line protocol", () => {
    it("is split, parsed or rejected without an exception", () => {
      fc.assert(
        fc.property(input, (parts) => {
          const splitter = new LineSplitter();
          const reader = new AnswerReader(0);
          for (const part of parts) {
            const lines = splitter.push(part);
            if (lines === "too long") return;
            for (const line of lines) {
              parseStatement(line);
              const answer = reader.push(line);
              if (answer && answer !== "malformed") parseStatus(answer);
            }
          }
        }),
        { seed: SEED, numRuns: 2_000 },
      );
    });

    it("gives no status with a term that is not a whole number", () => {
      for (const term of ["x", "-1", "1.5", "", "1e400"]) {
        const reader = new AnswerReader(0);
        reader.push(`DATAROW primary ${term} 3.1209 0 12 2 17`);
        reader.push("COMPLETE -");
        const answer = reader.push("READY I 3.1209");
        if (!answer || answer === "malformed") throw new Error("no answer");
        expect(parseStatus(answer)).toEqual(undefined);
      }
    });
  });

  describe("in a row of the store", () => {
    const json = fc.json({ maxDepth: 3 });
    const field = fc.oneof(
      json.map((text) => JSON.parse(text)),
      fc.constantFrom("ready", "draining", "primary", "10.1.0.8:99999", ""),
    );
    const instance = fc.record({
      service: field,
      address: field,
      zone: field,
      state: field,
      dbRole: field,
      born: field,
    }, { requiredKeys: [] });
    const row = (value: Buffer) => ({
      table: "servers",
      key: "i-1",
      version: 1,
      value,
    });

    it("is rejected with a reason", () => {
      const content = fc.oneof(
        bytes,
        fc.oneof(json, instance.map((value) => JSON.stringify(value)))
          .map((text) => Buffer.from(text)),
      );
      fc.assert(
        fc.property(content, (value) => {
          parseConfiguration(row(value));
          const parsed = parseInstance(row(value));
          if (parsed.isErr()) return;
          expect(parsed.value.port).toBeLessThanOrEqual(65_535);
        }),
        { seed: SEED, numRuns: 2_000 },
      );
    });

    it("names no instance if its port is out of range", () => {
      for (const port of ["0", "65536", "99999"]) {
        const entry = {
          service: "ledger",
          address: `10.1.0.8:${port}`,
          zone: "zagreb-a",
          state: "ready",
          dbRole: "primary",
        };
        const value = Buffer.from(JSON.stringify(entry));
        expect(parseInstance(row(value)).isErr()).toEqual(true);
      }
    });
  });

  describe("from an instance", () => {
    async function openLink(port: number) {
      const target: ListedInstance = localInstance(port);
      const opened = await new LineConnector("p1").open(target, {
        timeout: 1_000,
      });
      const owner = { onReleased: () => {}, onClosed: () => {} };
      return opened._unsafeUnwrap()(owner);
    }

    it("closes the connection and fails its statements, whatever it is", async () => {
      await fc.assert(
        fc.asyncProperty(input, async (parts) => {
          const port = await listen((socket) => {
            let received = "";
            socket.on("data", (data) => {
              const isOpening = received === "";
              received += data;
              if (isOpening) socket.write("READY I -\r\n");
              if (!received.includes("QUERY q1")) return;
              for (const part of parts) socket.write(part);
              socket.end();
            });
          });
          const link = await openLink(port);
          link.markInUse();
          const operation = { kind: "text", text: "READ 1a4" } as const;
          const deadline = clock.now() + 1_000;
          const result = await link.run({ id: "q1", operation }, deadline);
          if (result.isOk()) {
            expect(typeof result.value.state).toEqual("string");
          }
          link.destroy();
        }),
        { seed: SEED, numRuns: 60 },
      );
    });

    it("is an error of the attempt, not an exception, when the address is invalid", async () => {
      const target = localInstance(99_999);
      const opened = await new LineConnector("p1").open(target, {
        timeout: 100,
      });
      expect(opened.isErr()).toEqual(true);
    });
  });

  describe("from a caller", () => {
    it("ends at most its own connection", async () => {
      let served = 0;
      const port = await listen((socket) => {
        const connection = new CallerConnection(socket);
        void (async () => {
          if (await connection.readStartup(1_000)) {
            connection.accept();
            while (await connection.next()) connection.complete("idle");
          }
          connection.close();
          served += 1;
        })();
      });
      let connected = 0;
      await fc.assert(
        fc.asyncProperty(input, fc.boolean(), async (parts, isStarted) => {
          connected += 1;
          const socket = connect({ host: ADDRESS, port });
          socket.on("error", () => {});
          socket.resume();
          if (isStarted) socket.write("STARTUP ledger x\r\n");
          for (const part of parts) socket.write(part);
          socket.end();
          await new Promise((resolve) => socket.once("close", resolve));
        }),
        { seed: SEED, numRuns: 100 },
      );
      await eventually(() => served === connected, "all sessions have ended");
    });

    it("that is not read back holds a bounded amount of answers in memory", async () => {
      const handled: Socket[] = [];
      let statements = 0;
      const row = "x".repeat(10_000);
      const port = await listen((socket) => {
        handled.push(socket);
        const connection = new CallerConnection(socket);
        void (async () => {
          await connection.readStartup(1_000);
          connection.accept();
          while (await connection.next()) {
            statements += 1;
            connection.answer({
              rows: [row],
              signature: "s",
              fault: undefined,
              faultText: undefined,
              state: "idle",
              position: undefined,
              sentAt: 0,
            });
          }
        })();
      });
      const caller = connect({ host: ADDRESS, port });
      caller.on("error", () => {});
      caller.pause();
      caller.write("STARTUP ledger x\r\n");
      const flood = "QUERY q READ 1a4\r\n".repeat(20_000);
      caller.write(flood);
      let before = -1;
      await eventually(async () => {
        await new Promise((resolve) => setTimeout(resolve, 150));
        const isStill = before === statements;
        before = statements;
        return isStill && statements > 0;
      }, "the session waits for its caller");
      const [socket] = handled;
      expect(socket!.writableLength).toBeLessThanOrEqual(2 * 1_048_576);
      caller.destroy();
    });
  });
});
