import { describe, it } from "node:test";
import { expect } from "earl";
import { formatTable } from "../src/commands/table.ts";

describe("tables for terminals", () => {
  it("align their columns", () => {
    expect(formatTable(["A", "B"], [["long", "x"], ["", "y"]]))
      .toEqual("A     B\nlong  x\n      y");
  });

  // Guards against a recorded operator whose name forges a row, or hides one by a terminal's commands.
  it("have one line for each row, whatever a cell contains", () => {
    const table = formatTable(["REVISION", "OPERATOR"], [
      ["2", "ana\n1         iva"],
      ["1", "\u001b[1A\u001b[2K\u009b1A\r\u007fčž"],
    ]);
    expect(table.split("\n")).toEqual([
      "REVISION  OPERATOR",
      "2         ana\\u000a1         iva",
      "1         \\u001b[1A\\u001b[2K\\u009b1A\\u000d\\u007fčž",
    ]);
  });
});
