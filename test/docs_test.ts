/**
 * Checks the tables of the docs against the source.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { expect } from "earl";
import { Events } from "../src/kernel/events.ts";
import { ResultCodes } from "../src/kernel/result_codes.ts";
import { flagOf, settingsSchema, variableOf } from "../src/kernel/settings.ts";

/** Reads the rows of a page's tables, sorted and without the last cell of each row. */
function readTableRows(page: string): string[] {
  return readFileSync(`docs/${page}`, "utf8")
    .split("\n")
    .filter((line) => /^\| [`\d]/.test(line))
    .map((line) => line.split("|").slice(1, -2).map((cell) => cell.trim()))
    .map((cells) => cells.join(" | "))
    .sort();
}

describe("docs", () => {
  it("list all result codes with their SQLSTATE, outcome and exit code", () => {
    const codes = Object.values(ResultCodes).map((code) =>
      [code.number, code.name, code.sqlState, code.outcome, code.exitCode]
        .join(" | ")
    );
    expect(readTableRows("result_codes.md")).toEqual(codes.sort());
  });

  it("list all events with their level", () => {
    const events = Object.values(Events).map((event) =>
      [event.number, event.name, event.level].join(" | ")
    );
    expect(readTableRows("events.md")).toEqual(events.sort());
  });

  it("give each event and each result code a unique number", () => {
    for (const entries of [Object.values(Events), Object.values(ResultCodes)]) {
      const numbers = entries.map((entry) => entry.number);
      expect(new Set(numbers).size).toEqual(numbers.length);
    }
  });

  it("list all settings with flag and variable", () => {
    const settings = Object.keys(settingsSchema.shape).map((key) =>
      `\`${flagOf(key)}\` | \`${variableOf(key)}\``
    );
    const rows = readTableRows("OPERATIONS.md")
      .map((row) => row.split(" | ").slice(0, 2).join(" | "));
    expect(rows).toEqual(settings.sort());
  });
});
