/**
 * The texts of callers reach instances byte by byte, in the same fields.
 *
 * @module
 */
import { after, before, describe, it } from "node:test";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { Duplex } from "node:stream";
import { expect } from "earl";
import fc from "fast-check";
import { CallerConnection } from "../../platform/caller_connection.ts";
import { LineConnector } from "../../platform/line_connector.ts";
import { LINE_ENCODING } from "../../platform/lines.ts";
import { clock } from "../../src/kernel/clock.ts";
import type {
  CallerRequest,
  CallerStatement,
} from "../../src/plugins/sessions/caller.ts";
import type { DirectLink } from "../../src/plugins/upstream/link.ts";
import { localInstance } from "./fixtures/local_instance.ts";

const SEED = 20_261_206;
const ADDRESS = "127.0.0.1";
const DEADLINE_MS = 5_000;

/** Any bytes without a line ending, as text with a character for each byte. */
const anyText = fc.uint8Array({ maxLength: 12 })
  .map((bytes) => Buffer.from(bytes).toString(LINE_ENCODING))
  .map((text) => text.replaceAll("\r\n", "\n\r"));

const word = fc.oneof(
  { weight: 3, arbitrary: anyText },
  fc.constantFrom(
    "a",
    "",
    " ",
    "\t",
    "\0",
    "\r",
    "\n",
    "\xc4\x8d",
    "READ",
    "WRITE",
  ),
  fc.constantFrom("AFTER", "3.5", "s1", "-"),
);

const text = fc.tuple(
  fc.constantFrom(
    "READ",
    "WRITE",
    "SET",
    "PREPARE s1 READ",
    "PREPARE s1 WRITE",
    "PREPARE",
    "EXECUTE s1",
    "EXECUTE",
    "DEALLOCATE",
    "BEGIN",
    "COMMIT",
    "ROLLBACK",
  ),
  fc.array(word, { maxLength: 5 }),
).map(([keyword, words]) => [keyword, ...words].join(" "))
  .map((line) => line.replaceAll("\r\n", "__"));

/** Splits as the protocol says: fields end at single blanks, the last one at the line's end. */
function readFields(line: string, count: number): readonly string[] {
  const parts = line.split(" ");
  return [
    ...parts.slice(0, count - 1),
    ...(parts.length >= count ? [parts.slice(count - 1).join(" ")] : []),
  ];
}

/** Reads a statement as a caller's session does. */
async function receive(line: string): Promise<CallerRequest | undefined> {
  const input = new Duplex({
    read: () => {},
    write: (_chunk, _encoding, done) => done(),
  });
  const socket = Object.assign(input, { setNoDelay: () => {} });
  const connection = new CallerConnection(socket as unknown as Socket);
  input.push(Buffer.from(`${line}\r\n`, LINE_ENCODING));
  return await connection.next();
}

describe("texts of callers", () => {
  /** What the instance received since the last call of `send`. */
  let received = Buffer.alloc(0);
  let link: DirectLink;
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write("READY I 1.1\r\n");
      socket.on("data", (chunk) => {
        received = Buffer.concat([received, chunk]);
        if (!received.subarray(-2).equals(Buffer.from("\r\n"))) return;
        socket.write("COMPLETE s\r\nREADY I 1.1\r\n");
      });
    });
  });
  before(async () => {
    await new Promise<void>((resolve) => server.listen(0, ADDRESS, resolve));
    const { port } = server.address() as AddressInfo;
    const opened = await new LineConnector("p1").open(
      localInstance(port),
      { timeout: 1_000 },
    );
    link = opened._unsafeUnwrap()({
      onReleased: () => {},
      onClosed: () => {},
    });
    link.markInUse();
  });
  after(() => {
    link.destroy();
    for (const socket of sockets) socket.destroy();
    server.close();
  });

  /** The line that an instance gets for a statement; undefined if none is sent for it alone. */
  async function send(
    id: string,
    statement: CallerStatement,
  ): Promise<string | undefined> {
    received = Buffer.alloc(0);
    const deadline = clock.now() + DEADLINE_MS;
    switch (statement.kind) {
      case "read":
      case "write":
      case "commit": {
        const operation = { kind: "text", text: statement.text } as const;
        expect((await link.run({ id, operation }, deadline)).isOk())
          .toEqual(true);
        break;
      }
      case "set": {
        const { name, value } = statement;
        expect((await link.setValue(name, value, deadline)).isOk())
          .toEqual(true);
        break;
      }
      default:
        return undefined;
    }
    const line = received.toString(LINE_ENCODING);
    expect(line.indexOf("\r\n")).toEqual(line.length - 2);
    return line.slice(0, -2);
  }

  it("are the same at the instance, in the same fields", async () => {
    const kinds = new Set<string>();
    await fc.assert(
      fc.asyncProperty(text, async (given) => {
        const line = `QUERY q1 ${given}`;
        const request = await receive(line);
        expect(request?.id).toEqual("q1");
        const statement = request!.statement;
        kinds.add(statement.kind);
        const sent = await send("q1", statement);
        switch (statement.kind) {
          case "read":
          case "write":
          case "commit":
            expect(sent).toEqual(line);
            break;
          case "set":
            expect(readFields(sent!, 5).slice(2))
              .toEqual(readFields(line, 5).slice(2));
            break;
          case "prepare": {
            const { name, shape } = statement;
            const effect = shape.effect === "read" ? "READ" : "WRITE";
            expect(["PREPARE", name, effect, shape.shape])
              .toEqual([...readFields(given, 4)]);
            break;
          }
          case "execute":
            expect(["EXECUTE", statement.name, statement.arguments])
              .toEqual([...readFields(given, 3)]);
            break;
          case "deallocate":
            expect(["DEALLOCATE", statement.name])
              .toEqual([...readFields(given, 2)]);
            break;
          case "begin":
            expect(given)
              .toEqual(statement.readOnly ? "BEGIN READ" : "BEGIN");
        }
      }),
      { seed: SEED, numRuns: 1_500 },
    );
    expect(kinds.size).toEqual(10);
  });

  it("keep every byte", async () => {
    const bytes = [...Array(256).keys()].filter((byte) => byte !== 0x20);
    const all = Buffer.from(bytes).toString(LINE_ENCODING);
    for (const keyword of ["READ", "WRITE a", "SET a"]) {
      const line = `QUERY ${all} ${keyword} ${all} ${all}`;
      const request = await receive(line);
      expect(request?.id).toEqual(all);
      const sent = await send(request!.id, request!.statement);
      expect(readFields(sent!, 3)[2]).toEqual(readFields(line, 3)[2]);
    }
  });
});
