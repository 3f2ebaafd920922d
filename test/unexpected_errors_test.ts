/**
 * Errors that nothing handles.
 *
 * @module
 */
import { execFile } from "node:child_process";
import { describe, it } from "node:test";
import { promisify } from "node:util";
import { expect } from "earl";

const MODULE = new URL("./fixtures/failing_process.js", import.meta.url)
  .pathname;

describe("an error that nothing handles", () => {
  it("is logged with its cause, and the process goes on", async () => {
    const run = promisify(execFile);
    const { stdout, stderr } = await run(process.execPath, [MODULE]);
    const logged = stderr.trim().split("\n").map((line) => JSON.parse(line));
    const causes = logged.map(({ where, error }) =>
      `${where}: ${String(error).split("\n")[0]}`
    );
    expect(causes.sort()).toEqual([
      "exception: Error: thrown by a timer",
      "rejection: Error: rejected",
    ]);
    expect(stdout).toEqual("still running\n");
  });
});
