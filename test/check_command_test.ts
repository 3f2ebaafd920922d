/**
 * Runs the check command as a process.
 *
 * @module
 */
import { describe, it } from "node:test";
import { Writable } from "node:stream";
import { expect } from "earl";
import {
  CheckExitCodes,
  showsColors,
} from "../src/commands/findings_report.ts";
import { ResultCodes } from "../src/kernel/result_codes.ts";
import { runCli } from "./fixtures/run_cli.ts";
import { sampleDocument } from "./fixtures/sample_document.ts";

const TEXT = sampleDocument();
const EXAMPLE = "examples/kotacic.yaml";

function check(text: string, ...args: readonly string[]) {
  return runCli(["check", "-", ...args], {}, text);
}

describe("check command", () => {
  it("ends with 0, 8 or 9 for notes, warnings and errors", async () => {
    const noted = TEXT.replace("zones: [", "zones: [osijek-a, ");
    const warned = TEXT.replace("connectionsPerInstance: 20", "$&0")
      .replace("connectionsPerInstance: 200", "connectionsPerInstance: 2");
    const wrong = TEXT.replace("databases: [booking]", "databases: [bookin]");
    const results = await Promise.all(
      [TEXT, noted, warned, wrong].map((text) => check(text)),
    );
    expect(results.map(({ exitCode }) => exitCode)).toEqual([0, 0, 8, 9]);
    expect(results[1]!.stdout).toEqual(
      "note F210 line 8 environments.trial.zones[0]: the zone osijek-a in trial has neither a proxy nor an instance\n" +
        "-: 0 errors, 0 warnings, 1 note\n",
    );
    expect(results[3]!.stdout).toEqual(
      expect.includes("line 5 accounts[0].databases[0]: expected"),
    );
    expect(results[3]!.stdout).toEqual(
      expect.includes("did you mean booking?"),
    );
  });

  // Guards against a script that takes a missing file for a warning.
  it("has exit codes that no result code has", () => {
    const others = Object.values(ResultCodes).map(({ exitCode }) => exitCode);
    const { WARNINGS, ERRORS } = CheckExitCodes;
    expect(others.filter((code) => code === WARNINGS || code === ERRORS))
      .toEqual([]);
  });

  it("compares with the document in force and prints one JSON object", async () => {
    const text = TEXT.replaceAll("name: proxy-2", "name: proxy-3");
    const result = await check(text, "--against", EXAMPLE, "--json");
    const report = JSON.parse(result.stdout);
    expect(report.comparedWith).toEqual(EXAMPLE);
    expect(report.warnings > 0).toEqual(true);
    expect(result.exitCode).toEqual(8);
    expect(report.findings[0]).toEqual({
      code: "F401",
      name: "callers-cut-off",
      severity: "warning",
      path: "accounts[swap-ledger]",
      line: 2,
      text:
        "callers of the account swap-ledger are refused; connections that are open stay open",
    });
  });

  it("says that it has not compared where a store is configured", async () => {
    const variable = "MARJORAMSHED_TABLE_SERVICE";
    const store = { [variable]: "http://127.0.0.1:1" };
    const result = await runCli(["check", EXAMPLE], store);
    expect(result.exitCode).toEqual(0);
    expect(result.stdout).toEqual(
      expect.includes("not compared with the document in force"),
    );
    const json = await runCli(["check", EXAMPLE, "--json"], store);
    expect(JSON.parse(json.stdout).comparedWith).toEqual(null);
  });

  it("fails as other commands do when a file can't be read or compared with", async () => {
    const absent = await runCli(["check", "absent.yaml"]);
    expect(absent.exitCode).toEqual(ResultCodes.DOCUMENT_ABSENT.exitCode);
    const wrong = await check("a: 1", "--against", EXAMPLE);
    expect(wrong.exitCode).toEqual(9);
    const current = await runCli(["check", EXAMPLE, "--against", "-"], {}, "a");
    expect(current.exitCode).toEqual(ResultCodes.DOCUMENT_INVALID.exitCode);
    expect(current.stderr).toEqual(expect.includes("--against -:"));
    const both = await check(TEXT, "--against", "-");
    expect(both.exitCode).toEqual(ResultCodes.SETTING_INVALID.exitCode);
  });

  // Guards against a command that reads until the memory is full.
  it("reads no more than a document can have", async () => {
    const result = await runCli(["check", "/dev/zero"]);
    expect(result.exitCode).toEqual(9);
    expect(result.stdout).toEqual(expect.includes("error F101"));
  });

  it("shows colors on a terminal only, and none with NO_COLOR", () => {
    const file = new Writable();
    const terminal = Object.assign(new Writable(), { isTTY: true });
    expect(showsColors(terminal, {})).toEqual(true);
    expect(showsColors(file, { FORCE_COLOR: "1" })).toEqual(false);
    expect(showsColors(terminal, { NO_COLOR: "1" })).toEqual(false);
    expect(showsColors(terminal, { TERM: "dumb" })).toEqual(false);
  });
});
