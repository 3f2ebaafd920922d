/**
 * Texts of callers, operators and instances stay within their field of a line.
 *
 * @module
 */
import { afterEach, describe, it } from "node:test";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { Duplex } from "node:stream";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import { CallerConnection } from "../../platform/caller_connection.ts";
import { parseConfiguration } from "../../platform/documents.ts";
import { LineConnector } from "../../platform/line_connector.ts";
import {
  AnswerReader,
  LINE_ENCODING,
  LINE_MAX_BYTES,
  LineSplitter,
} from "../../platform/lines.ts";
import type { ResultCode } from "../../src/kernel/result_codes.ts";
import { noPrimary } from "../../src/plugins/sessions/outcome.ts";
import { localInstance } from "./fixtures/local_instance.ts";

const ADDRESS = "127.0.0.1";

describe("fields of lines", () => {
  const cleanups: (() => void)[] = [];
  afterEach(() => {
    for (const clean of cleanups.splice(0)) clean();
  });

  /** Listens with a handler for each connection; returns the port. */
  async function listen(handle: (socket: Socket) => void): Promise<number> {
    const server = createServer({ allowHalfOpen: true }, handle);
    await new Promise<void>((resolve) => server.listen(0, ADDRESS, resolve));
    cleanups.push(() => server.close());
    return (server.address() as AddressInfo).port;
  }

  /** Sends bytes to a connection that a handler serves and then closes; returns the answer. */
  async function exchange(
    input: Buffer,
    serve: (connection: CallerConnection) => Promise<void> | void,
  ): Promise<Buffer> {
    const port = await listen((socket) => {
      const connection = new CallerConnection(socket);
      void Promise.resolve(serve(connection)).then(() => connection.close());
    });
    const socket = connect({ host: ADDRESS, port });
    socket.end(input);
    const chunks: Buffer[] = [];
    for await (const chunk of socket) chunks.push(chunk as Buffer);
    return Buffer.concat(chunks);
  }

  describe("names of databases", () => {
    async function startUp(field: Buffer): Promise<[string?, Buffer?]> {
      let database: string | undefined;
      const input = [Buffer.from("STARTUP "), field, Buffer.from(" u1\r\n")];
      const answer = await exchange(
        Buffer.concat(input),
        async (connection) => {
          database = (await connection.readStartup(1_000))?.database;
        },
      );
      return [database, answer];
    }

    // Guards against a configured name that no caller can reach.
    it("are read as UTF-8", async () => {
      for (const name of ["kotačić", "booking", "\uFEFFa", "床", "Ċč"]) {
        const [database] = await startUp(Buffer.from(name, "utf8"));
        expect(database).toEqual(name);
      }
    });

    it("that are too long for a message are answered", async () => {
      const [database, answer] = await startUp(
        Buffer.alloc(LINE_MAX_BYTES, "x"),
      );
      expect(database).toEqual(undefined);
      expect(answer!.toString().startsWith("ERROR TOOLARGE ")).toEqual(true);
    });

    it("that are not UTF-8 are unknown", async () => {
      const [database, answer] = await startUp(Buffer.from([0x61, 0xff]));
      expect(database).toEqual(undefined);
      expect(answer!.toString().startsWith("ERROR NODB ")).toEqual(true);
    });
  });

  describe("messages of failures", () => {
    async function refuse(code: ResultCode, message: string) {
      return await exchange(
        Buffer.alloc(0),
        (connection) => connection.refuse({ code, message }, "idle"),
      );
    }

    // Guards against a name that ends its line and begins a forged one.
    it("stay within one line whatever names they contain", async () => {
      for (
        const name of [
          "čĊREADY I -",
          "a\r\nREADY I -",
          "\u{1F60D}\u{1F60A}READY",
          "\u0000\u0085\u2028",
        ]
      ) {
        const { code, message } = noPrimary(name, 10);
        const answer = await refuse(code, message);
        const lines = answer.toString(LINE_ENCODING).split("\r\n");
        expect(lines.length).toEqual(3);
        expect(lines[0]!.startsWith("ERROR BUSY ")).toEqual(true);
        expect(lines.slice(1)).toEqual(["READY I -", ""]);
      }
    });

    it("are written as UTF-8", async () => {
      const { code, message } = noPrimary("kotačić", 10);
      const answer = await refuse(code, message);
      expect(answer.toString("utf8"))
        .toEqual(`ERROR BUSY ${message}\r\nREADY I -\r\n`);
    });

    // Guards against an answer longer than a message may be.
    it("are cut when they repeat a long text", async () => {
      const { code, message } = noPrimary("č".repeat(1_000_000), 10);
      const answer = await refuse(code, message);
      expect(answer.length).toBeLessThan(LINE_MAX_BYTES);
      const [error, ready] = answer.toString("utf8").split("\r\n");
      expect(error!.startsWith("ERROR BUSY ččč")).toEqual(true);
      expect(ready).toEqual("READY I -");
    });
  });

  // Guards against words that are found because every object has a property of that name.
  describe("words that are names of object properties", () => {
    const words = ["constructor", "toString", "__proto__", "valueOf"];

    it("are no state of a transaction", () => {
      for (const word of words) {
        const reader = new AnswerReader(0);
        reader.push("COMPLETE s");
        expect(reader.push(`READY ${word} 3.1`)).toEqual("malformed");
      }
    });

    it("are no known fault", () => {
      for (const word of words) {
        const reader = new AnswerReader(0);
        reader.push(`ERROR ${word} i-1`);
        const answer = reader.push("READY I 3.1");
        expect(answer !== "malformed" && answer?.fault).toEqual("other");
      }
    });

    it("are no kind of route", () => {
      for (const word of words) {
        const route = { host: "a", service: "b", kind: word, timeoutMs: 100 };
        const content = { version: 1, routes: [route], services: [] };
        const value = Buffer.from(JSON.stringify(content));
        const row = { table: "op", key: "config", version: 1, value };
        const table = parseConfiguration(row)._unsafeUnwrap();
        expect(table.routes.size).toEqual(0);
      }
    });
  });

  /** A connection and the stream of what its caller sends. */
  function createConnection() {
    const input = new Duplex({
      read: () => {},
      write: (_chunk, _encoding, done) => done(),
    });
    const socket = Object.assign(input, { setNoDelay: () => {} });
    return {
      input,
      connection: new CallerConnection(socket as unknown as Socket),
    };
  }

  describe("a line that is too long", () => {
    // Guards against a statement that is made of parts of two lines.
    it("is the last one that is read", async () => {
      const { input, connection } = createConnection();
      input.push("QUERY q1 READ a\r\nQUERY q2 READ b\r\n");
      expect((await connection.next())?.id).toEqual("q1");
      input.push("QUERY q3 WRITE a " + "x".repeat(LINE_MAX_BYTES - 100));
      input.push("x".repeat(200) + "\r\n");
      await sleep(10);
      expect((await connection.next())?.id).toEqual("q2");
      input.push("y\r\nQUERY q4 READ a\r\n");
      await sleep(10);
      expect((await connection.next())?.id).toEqual(undefined);
    });
  });

  // Guards against a name that moves the fields after it, such as the expected id.
  it("stay apart when a connection to an instance is opened", async () => {
    for (const name of ["host-1", "host 1", "h\r\nQUERY - X", "", "č Ċ"]) {
      const lines: string[] = [];
      const port = await listen((socket) => {
        const splitter = new LineSplitter();
        socket.on("data", (chunk) => {
          lines.push(...splitter.push(chunk));
          socket.write("READY I 1.1\r\n");
        });
      });
      const opened = await new LineConnector(name).open(
        localInstance(port, { id: "i-č", group: "kotačić" }),
        { timeout: 1_000 },
      );
      const owner = { onReleased: () => {}, onClosed: () => {} };
      opened._unsafeUnwrap()(owner).destroy();
      expect(lines.length).toEqual(1);
      const bytes = Buffer.from(lines[0]!, LINE_ENCODING);
      const fields = bytes.toString("utf8").split(" ");
      expect(fields.length).toEqual(4);
      const [word, group, who, id] = fields;
      expect([word, group, id]).toEqual(["STARTUP", "kotačić", "i-č"]);
      expect(who!.length).toBeGreaterThan(0);
    }
  });

  // Guards against a caller's statement that looks like one of the proxy's own.
  it("hold no id of the proxy's own statements when they are forwarded", async () => {
    const { input, connection } = createConnection();
    for (
      const [line, kind] of [
        ["QUERY - READ a", "malformed"],
        ["QUERY - WRITE a b", "malformed"],
        ["QUERY - EXECUTE s1 a", "malformed"],
        ["QUERY - COMMIT", "malformed"],
        ["QUERY - SET a b", "set"],
        ["QUERY - ROLLBACK", "rollback"],
        ["QUERY -- READ a", "read"],
      ]
    ) {
      input.push(`${line}\r\n`);
      expect((await connection.next())?.statement.kind as string).toEqual(
        kind!,
      );
    }
  });
});
