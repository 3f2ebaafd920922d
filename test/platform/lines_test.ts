import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import {
  AnswerReader,
  formatWirePosition,
  LINE_ENCODING,
  LINE_MAX_BYTES,
  LineSplitter,
  parseStatement,
  parseStatus,
  parseWirePosition,
  splitFields,
} from "../../platform/lines.ts";

const line = fc.string({ unit: "binary-ascii", maxLength: 60 })
  .map((text) => text.replaceAll("\r\n", "__"));

describe("lines", () => {
  describe("splitting", () => {
    it("gives the same lines for any chunking of the stream", () => {
      fc.assert(fc.property(
        fc.array(line, { maxLength: 20 }),
        fc.array(fc.integer({ min: 1, max: 30 }), { minLength: 1 }),
        (lines, cuts) => {
          const data = Buffer.from(
            lines.map((item) => item + "\r\n").join(""),
            LINE_ENCODING,
          );
          const splitter = new LineSplitter();
          const found: string[] = [];
          for (let from = 0, turn = 0; from < data.length; turn += 1) {
            const to = from + cuts[turn % cuts.length]!;
            const part = splitter.push(data.subarray(from, to));
            if (part === "too long") throw new Error("too long");
            found.push(...part);
            from = to;
          }
          expect(found).toEqual(lines);
          expect(splitter.hasPartialLine).toEqual(false);
        },
      ));
    });

    it("preserves every byte", () => {
      const bytes = Buffer.from([...Array(256).keys()]);
      const lines = new LineSplitter()
        .push(Buffer.concat([bytes, Buffer.from("\r\n")]));
      expect(Buffer.from(lines[0]!, LINE_ENCODING).equals(bytes)).toEqual(true);
    });

    // Guards against a text with a line feed that is taken for two messages.
    it("does not end a line at a line feed or carriage return on its own", () => {
      const text = "QUERY q2 WRITE a b\nQUERY x9 WRITE c d\re";
      const data = Buffer.from(`${text}\r\n\nnext\r\r\n`, LINE_ENCODING);
      expect(new LineSplitter().push(data)).toEqual([text, "\nnext\r"]);
      const splitter = new LineSplitter();
      const parts = [...data].map((byte) => splitter.push(Buffer.from([byte])));
      expect(parts.flat()).toEqual([text, "\nnext\r"]);
    });

    it("rejects a line that is too long, complete or not", () => {
      const long = Buffer.alloc(LINE_MAX_BYTES + 1, 0x61);
      expect(new LineSplitter().push(long)).toEqual("too long");
      const ended = Buffer.concat([long, Buffer.from("\r\n")]);
      expect(new LineSplitter().push(ended)).toEqual("too long");
    });
  });

  it("keeps the spaces of the last field", () => {
    expect(splitFields("QUERY a WRITE x y z", 3))
      .toEqual(["QUERY", "a", "WRITE x y z"]);
  });

  describe("positions", () => {
    it("are parsed back to the formatted value", () => {
      fc.assert(fc.property(
        fc.nat(1_000_000),
        fc.bigInt({ min: 0n, max: 10n ** 18n }),
        (term, lsn) => {
          expect(parseWirePosition(formatWirePosition({ term, lsn })))
            .toEqual({ term, lsn });
        },
      ));
    });

    it("are undefined for a dash and other text", () => {
      for (const text of ["-", "", "3", "3.x", "x.3", undefined]) {
        expect(parseWirePosition(text)).toEqual(undefined);
      }
    });
  });

  describe("statements", () => {
    it("are parsed by their keyword", () => {
      expect(parseStatement("BEGIN")).toEqual({
        kind: "begin",
        readOnly: false,
      });
      expect(parseStatement("BEGIN READ"))
        .toEqual({ kind: "begin", readOnly: true });
      expect(parseStatement("WRITE 1a4 some data"))
        .toEqual({ kind: "write", text: "WRITE 1a4 some data" });
      expect(parseStatement("PREPARE s1 WRITE q2c")).toEqual({
        kind: "prepare",
        name: "s1",
        shape: { effect: "write", shape: "q2c" },
      });
      expect(parseStatement("EXECUTE s1 1a4 a b")).toEqual({
        kind: "execute",
        name: "s1",
        arguments: "1a4 a b",
      });
      expect(parseStatement("SET zone a b"))
        .toEqual({ kind: "set", name: "zone", value: "a b" });
    });

    it("are malformed when a keyword or field is missing or wrong", () => {
      for (
        const text of [
          "",
          "READ",
          "WRITE 1a4",
          "BEGIN WRITE",
          "AFTER 1.2 READ 1a4",
          "PREPARE s1 DELETE q",
          "EXECUTE s1",
          "COMMIT now",
          "STATUS",
        ]
      ) {
        expect(parseStatement(text).kind).toEqual("malformed");
      }
    });
  });

  describe("answers", () => {
    it("end with READY and carry rows, signature and position", () => {
      const reader = new AnswerReader(7);
      expect(reader.push("DATAROW some row")).toEqual(undefined);
      expect(reader.push("COMPLETE 7.1f3")).toEqual(undefined);
      expect(reader.push("READY I 3.1209")).toEqual({
        rows: ["some row"],
        signature: "7.1f3",
        fault: undefined,
        faultText: undefined,
        state: "idle",
        position: { term: 3, lsn: 1209n },
        sentAt: 7,
      });
    });

    it("are malformed with READY before COMPLETE or ERROR, or an unknown keyword", () => {
      expect(new AnswerReader(0).push("READY I 3.1")).toEqual("malformed");
      expect(new AnswerReader(0).push("WHAT")).toEqual("malformed");
    });

    it("to STATUS give role, term, received position and paused term", () => {
      const reader = new AnswerReader(0);
      reader.push("DATAROW replica 3 3.1209 4 12 2 17");
      reader.push("COMPLETE -");
      const answer = reader.push("READY I 3.1204");
      if (!answer || answer === "malformed") throw new Error("no answer");
      expect(parseStatus(answer)).toEqual({
        role: "replica",
        term: 3,
        received: { term: 3, lsn: 1209n },
        pausedAt: 4,
        lag: 12,
        sentAt: 0,
      });
    });
  });
});
