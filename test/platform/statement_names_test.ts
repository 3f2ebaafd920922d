import { describe, it } from "node:test";
import { expect } from "earl";
import type { PreparedStatement } from "../../src/plugins/upstream/link.ts";
import { PreparedStatements } from "../../src/plugins/upstream/prepared_statements.ts";

const MEBIBYTE = 1024 * 1024;

function read(shape: string): PreparedStatement {
  return { effect: "read", shape };
}

describe("names of prepared statements on a connection", () => {
  // Guards against an upstream statement name that contains a caller's shape (inc-34).
  it("consist of letters and digits whatever the shape", () => {
    const statements = new PreparedStatements();
    for (const shape of ["q5 READ x", "q\r\n5", " ", "\0", "x".repeat(1_000)]) {
      expect(/^[a-z]\d{1,15}$/.test(statements.add(read(shape)))).toEqual(true);
    }
  });

  it("tell statements apart that join to the same text", () => {
    const statements = new PreparedStatements();
    const all: readonly PreparedStatement[] = [
      read("q5"),
      { effect: "write", shape: "q5" },
      read("read q5"),
      read("write q5"),
      read("q5 "),
    ];
    const names = all.map((one) => statements.add(one));
    expect(new Set(names).size).toEqual(all.length);
    expect(all.map((one) => statements.name(one))).toEqual(names);
  });

  it("are not used again after the statements were discarded", () => {
    const statements = new PreparedStatements();
    const before = statements.add(read("q5"));
    statements.clear();
    expect(statements.name(read("q5"))).toEqual(undefined);
    expect(statements.add(read("q5"))).not.toEqual(before);
  });

  // Guards against callers whose shapes fill the memory of a connection that others share.
  describe("are given up beyond a limit", () => {
    it("of statements, the least recently used first", () => {
      const statements = new PreparedStatements();
      const kept = statements.add(read("kept"));
      const evicted: string[] = [];
      for (let index = 0; index < 2_000; index += 1) {
        statements.add(read(`q${index}`));
        evicted.push(...statements.evict());
        expect(statements.name(read("kept"))).toEqual(kept);
      }
      expect(evicted.includes(kept)).toEqual(false);
      expect(evicted.length >= 1_000).toEqual(true);
      expect(statements.name(read("q0"))).toEqual(undefined);
      expect(statements.name(read("q1999"))).not.toEqual(undefined);
    });

    it("of length, but never the latest", () => {
      const statements = new PreparedStatements();
      const shapes = ["a", "b", "c"].map((one) => one.repeat(MEBIBYTE));
      const names = shapes.map((shape) => statements.add(read(shape)));
      expect(statements.evict()).toEqual([names[0]!]);
      const long = statements.add(read("d".repeat(4 * MEBIBYTE)));
      expect(statements.evict()).toEqual([names[1]!, names[2]!]);
      expect(statements.name(read("d".repeat(4 * MEBIBYTE)))).toEqual(long);
    });
  });
});
