/**
 * Runs the command-line interface as a process against the platform's stand-ins.
 *
 * @module
 */
import { after, before, describe, it } from "node:test";
import { expect } from "earl";
import { ResultCodes } from "../src/kernel/result_codes.ts";
import { verifyPassword } from "../src/plugins/document/password.ts";
import { ControlStack } from "./fixtures/control_stack.ts";
import { runCli } from "./fixtures/run_cli.ts";
import { sampleDocument } from "./fixtures/sample_document.ts";
import { eventually } from "./support/eventually.ts";

const TEXT = sampleDocument();

describe("command line", () => {
  let stack: ControlStack;
  let settings: Record<string, string>;

  before(async () => {
    stack = await ControlStack.start();
    settings = stack.operatorVariables();
  });
  after(() => stack.stop());

  describe("document", () => {
    it("is validated without contacting the platform", async () => {
      const valid = await runCli(["document", "validate", "-"], {}, TEXT);
      expect(valid.exitCode).toEqual(0);
      const text = TEXT.replace("maxAge", "maxAgee");
      const invalid = await runCli(["document", "validate", "-"], {}, text);
      expect(invalid.exitCode).toEqual(ResultCodes.DOCUMENT_INVALID.exitCode);
      expect(invalid.stderr).toEqual(expect.includes("did you mean maxAge?"));
      expect(invalid.stderr).toEqual(expect.includes("(code 201,"));
    });

    it("is promoted from trial to production, with history and diff", async () => {
      const put = await runCli(
        ["document", "put", "-", "--operator", "ana"],
        settings,
        TEXT,
      );
      expect(put.stderr).toEqual("");
      expect(put.stdout).toEqual(expect.includes("trial: revision 1 accepted"));
      const promote = ["document", "promote", "--operator", "iva", "--json"];
      const promoted = await runCli(promote, settings);
      expect(JSON.parse(promoted.stdout).number).toEqual(1);
      const diff = await runCli(["document", "diff"], settings);
      expect(diff.stdout).toEqual("no difference\n");
      const history = await runCli(["document", "history"], settings);
      expect(history.stdout).toEqual(expect.includes("iva"));
      const shown = await runCli(["document", "show", "1"], settings);
      expect(shown.stdout).toEqual(TEXT);
    });

    it("is rejected when --expect is stale, naming the current revision", async () => {
      const put = ["document", "put", "-", "--expect", "0"];
      const refused = await runCli(put, settings, TEXT);
      expect(refused.exitCode).toEqual(ResultCodes.DOCUMENT_CONFLICT.exitCode);
      expect(refused.stderr).toEqual(expect.includes("revision 1 by ana"));
    });

    // Guards against a script's variable that is not set: the second put with it would change nothing and report success.
    it("is rejected with an empty operation id, operator or number", async () => {
      for (const flag of ["--operation", "--operator", "--expect"]) {
        const put = ["document", "put", "-", flag, ""];
        const refused = await runCli(put, settings, TEXT);
        expect(refused.exitCode).toEqual(ResultCodes.SETTING_INVALID.exitCode);
        expect(refused.stderr).toEqual(expect.includes(`${flag}: expected`));
      }
    });

    it("is rejected without a required setting, naming its flag and variable", async () => {
      const refused = await runCli(["document", "diff"]);
      expect(refused.exitCode).toEqual(ResultCodes.SETTING_INVALID.exitCode);
      expect(refused.stderr).toEqual(
        expect.includes("--table-service (MARJORAMSHED_TABLE_SERVICE)"),
      );
    });
  });

  describe("account hash", () => {
    it("prints a hash of the password on standard input", async () => {
      const hashed = await runCli(["account", "hash"], {}, "wheel swap\n");
      expect(await verifyPassword("wheel swap", hashed.stdout.trim()))
        .toEqual(true);
    });
  });

  describe("status", () => {
    it("shows the revision of each proxy, and which proxies were not heard", async () => {
      const [first] = await stack.startProxies(2, "127.41.2");
      await eventually(async () => {
        const shown = await runCli(["status"], settings);
        return /proxy-1 .* 1 /.test(shown.stdout) &&
          /proxy-2 .* 1 /.test(shown.stdout);
      }, "revision 1 at both proxies");
      await first!.kill();
      const shown = await runCli(["status", "--json"], settings);
      const { proxies } = JSON.parse(shown.stdout);
      const heard = proxies.map((proxy: { name: string; heard: boolean }) =>
        `${proxy.name} ${proxy.heard}`
      );
      expect(heard.sort()).toEqual(["proxy-1 false", "proxy-2 true"]);
    });

    it("fails when the host list is unavailable", async () => {
      await stack.setFaults(stack.hostList, { down: true });
      const failed = await runCli(["status"], settings);
      await stack.setFaults(stack.hostList, { down: false });
      expect(failed.exitCode).toEqual(
        ResultCodes.HOST_LIST_UNAVAILABLE.exitCode,
      );
    });
  });

  describe("a document with warnings", () => {
    // Guards against callers that are cut off without a word to the operator.
    it("is accepted, and diff shows its effects in advance", async () => {
      const text = TEXT.replace("- name: app", "- name: other")
        .replaceAll("connectionsPerInstance: 20", "connectionsPerInstance: 3");
      const diff = await runCli(
        ["document", "diff", "-", "--to", "trial"],
        settings,
        text,
      );
      const refused = "callers of the account app are refused";
      expect(diff.stdout).toEqual(
        expect.includes(`- accounts[app]: {"name":"app"`),
      );
      expect(diff.stdout).toEqual(expect.includes(`\n    ${refused}`));
      const put = ["document", "put", "-"];
      const accepted = await runCli(put, settings, text);
      expect(accepted.stdout).toEqual(
        expect.includes("trial: revision 2 accepted"),
      );
      const codes = accepted.stderr.trim().split("\n")
        .map((line) => line.split(" ").slice(0, 2).join(" "));
      expect(codes.sort()).toEqual([
        "warning F304",
        "warning F401",
        "warning F403",
      ]);
      expect(accepted.stderr).toEqual(expect.includes(refused));
    });
  });
});
