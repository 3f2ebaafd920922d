import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { parse as parseYaml, stringify } from "yaml";
import type { Document } from "../src/plugins/document/document.ts";
import {
  diffDocuments,
  formatChange,
} from "../src/plugins/document/diff_documents.ts";
import {
  formatPath,
  parseDocument,
  type Problem,
  validateDocument,
} from "../src/plugins/document/parse_document.ts";
import {
  hashPassword,
  verifyPassword,
} from "../src/plugins/document/password.ts";
import { sampleDocument, sampleValue } from "./fixtures/sample_document.ts";

function findProblems(text: string): readonly Problem[] {
  return validateDocument(text)._unsafeUnwrapErr();
}

function parse(value: unknown): Document {
  return parseDocument(stringify(value))._unsafeUnwrap();
}

describe("document", () => {
  describe("validation", () => {
    it("fills in defaults and converts durations to milliseconds", () => {
      const document = parseDocument(sampleDocument())._unsafeUnwrap();
      const group = document.environments["trial"]!.groups[0]!;
      expect(group.reads.maxAge).toEqual(10_000);
      expect(group.reads.kinds[0]!.maxAge).toEqual(2_000);
      expect(group.writes.acknowledge).toEqual("majority");
    });

    it("reports the path, line, expected and found value of an invalid value", () => {
      const text = sampleDocument().replace("maxAge: 2s", "maxAge: soon");
      const [problem] = findProblems(text);
      expect(problem?.path).toEqual(
        "environments.trial.groups[0].reads.kinds[0].maxAge",
      );
      expect(problem?.expected).toEqual(
        "a duration such as 250ms, 2s, 5m or 24h",
      );
      expect(problem?.found).toEqual('"soon"');
      expect(text.split("\n")[problem!.line - 1]).toEqual(
        expect.includes("soon"),
      );
    });

    it("rejects an unknown key and suggests the nearest known key", () => {
      const text = sampleDocument().replace("maxAge: 2s", "maxAgee: 2s");
      const problem = findProblems(text).find((problem) => problem.hint);
      expect(problem?.path).toEqual(
        "environments.trial.groups[0].reads.kinds[0].maxAgee",
      );
      expect(problem?.hint).toEqual("did you mean maxAge?");
    });

    it("rejects a duplicate account and a database that no group defines", () => {
      const value = sampleValue();
      const account = value.accounts[0]!;
      const accounts = [account, { ...account, databases: ["nowhere"] }];
      const paths = findProblems(stringify({ ...value, accounts }))
        .map((problem) => problem.path);
      expect(paths).toEqual(["accounts[1]", "accounts[1].databases[0]"]);
    });

    it("rejects invalid YAML, duplicate keys and unbounded alias expansion", () => {
      const aliasBomb = ["a: &a [x,x,x,x,x,x,x,x,x,x]"];
      for (let index = 1; index < 9; index += 1) {
        const before = String.fromCharCode(96 + index);
        const name = String.fromCharCode(97 + index);
        aliasBomb.push(`${name}: &${name} [${`*${before},`.repeat(10)}]`);
      }
      for (
        const text of ["a: [", "service: a\nservice: b", aliasBomb.join("\n")]
      ) {
        expect(findProblems(text)[0]?.expected).toEqual("YAML");
      }
    });

    it("rejects arbitrary text with a list of problems", () => {
      fc.assert(fc.property(fc.string(), (text) => {
        expect(validateDocument(text).isErr()).toEqual(true);
      }));
    });

    it("suggests the nearest name for one that refers to nothing", () => {
      const text = sampleDocument()
        .replace("databases: [booking]", "databases: [bokking]")
        .replace("name: proxy-2, zone: split-a", "name: p, zone: split-b");
      expect(findProblems(text).map(({ path, hint }) => [path, hint]))
        .toEqual([
          ["environments.trial.proxies[1].zone", "did you mean split-a?"],
          ["accounts[0].databases[0]", "did you mean booking?"],
        ]);
    });

    /** A document whose account has the given quota. */
    const withQuota = (quota: unknown) => {
      const value = sampleValue();
      const accounts = [{ ...value.accounts[0], quota }];
      return stringify({ ...value, accounts });
    };

    it("takes the burst of a quota from its rate if it is left out", () => {
      const quotas = [undefined, { rate: 0.5 }, { rate: 20, burst: 5 }];
      const parsed = quotas.map((quota) =>
        parseDocument(withQuota(quota))._unsafeUnwrap().accounts[0]?.quota
      );
      expect(parsed).toEqual([
        undefined,
        { rate: 0.5, burst: 1 },
        { rate: 20, burst: 5 },
      ]);
    });

    it("rejects a quota that is no amount, with the amounts that it may be", () => {
      const wrong = [0, -1, "5", Infinity, NaN, 1e7, null, undefined];
      for (const rate of wrong) {
        const [problem] = findProblems(withQuota({ rate }));
        expect(problem?.path).toEqual("accounts[0].quota.rate");
        expect(problem?.expected)
          .toEqual("operations a second, above 0 and at most 1000000");
      }
      for (const burst of [0, 1.5, "5", 1e300, null]) {
        const [problem] = findProblems(withQuota({ rate: 1, burst }));
        expect(problem?.path).toEqual("accounts[0].quota.burst");
        expect(problem?.expected)
          .toEqual("a whole number of operations from 1 to 1000000");
      }
    });

    // Guards against a password that was written in place of its hash and ends up in a log.
    it("never shows what stands in place of a password's hash", () => {
      const value = sampleValue();
      const account = { ...value.accounts[0], password: "hunter2" };
      for (const accounts of [[account], { a: account }]) {
        const text = stringify({ ...value, accounts });
        const message = parseDocument(text)._unsafeUnwrapErr().message;
        expect(message.includes("hunter2")).toEqual(false);
      }
    });

    // Guards against a process that ends or stands still: the YAML library
    // recurses into each level and compares each key with all others.
    it("rejects a text that repeats anything a million times", () => {
      const parts = [
        "[",
        "- ",
        "a: ",
        "? ",
        "*a ",
        "! ",
        "]",
        "- &a x\n- *a\n",
      ];
      for (const part of parts) {
        const text = part.repeat(1_000_000 / part.length);
        const startedAt = performance.now();
        expect(validateDocument(text).isErr()).toEqual(true);
        expect(performance.now() - startedAt < 30_000).toEqual(true);
      }
    });

    it("rejects an alias inside its own anchor and keys that no object can hold", () => {
      const [endless] = findProblems("accounts: &a [*a]");
      expect(endless?.found).toEqual("an alias inside its own anchor");
      const [key] = findProblems(
        sampleDocument().replace("  trial:", "  __proto__:"),
      );
      expect(key?.path).toEqual("environments.__proto__");
    });

    it("reports the path of a value of the wrong type at any position", () => {
      const paths = leafPaths(sampleValue());
      fc.assert(fc.property(fc.constantFrom(...paths), (path) => {
        const broken = replaceAt(sampleValue(), path, { wrong: true });
        const found = findProblems(stringify(broken)).map((problem) =>
          problem.path
        );
        expect(found.includes(formatPath(path))).toEqual(true);
      }));
    });
  });

  describe("diff", () => {
    it("is empty for identical documents", () => {
      const document = parse(sampleValue());
      expect(diffDocuments(document, document)).toEqual([]);
    });

    it("lists changed, added and removed parts by path", () => {
      const before = parse(sampleValue());
      const text = sampleDocument().replace("maxAge: 2s", "maxAge: 3s")
        .replaceAll("proxy-2", "proxy-3");
      const after = parseDocument(text)._unsafeUnwrap();
      const paths = diffDocuments(before, after).map((change) => change.path);
      expect(paths).toEqual([
        "environments.trial.proxies[proxy-2]",
        "environments.trial.proxies[proxy-3]",
        "environments.trial.groups[booking].reads.kinds[stock-lookup].maxAge",
        "environments.production.proxies[proxy-2]",
        "environments.production.proxies[proxy-3]",
      ]);
    });

    /** A document whose trial has the given kinds of reads. */
    const withKinds = (...kinds: readonly unknown[]) => {
      const value = parseYaml(sampleDocument());
      value.environments.trial.groups[0].reads.kinds = kinds;
      return parse(value);
    };

    // Guards against a change that an operator doesn't see before a promotion.
    it("shows a change of each of several items of one name", () => {
      const [first, second] = ["1s", "2s"].map((maxAge) => ({
        name: "stock",
        maxAge,
      }));
      const before = withKinds(first, second);
      const path = "environments.trial.groups[booking].reads.kinds";
      expect(diffDocuments(before, withKinds(second, second))).toEqual([
        { path: `${path}[stock].maxAge`, before: 1_000, after: 2_000 },
      ]);
      expect(diffDocuments(before, withKinds(first, first))).toEqual([
        { path: `${path}[stock#2].maxAge`, before: 2_000, after: 1_000 },
      ]);
      const [removed] = diffDocuments(before, withKinds(first));
      expect(removed?.path).toEqual(`${path}[stock#2]`);
    });

    it("shows one line for each change, whatever a name contains", () => {
      const kind = (...tables: readonly string[]) => ({
        name: "stock",
        maxAge: "1s",
        tables,
      });
      const changes = diffDocuments(
        withKinds(kind("shelf")),
        withKinds(kind("shelf", "a\n- accounts[app]: 1", "b#2", "b", "b")),
      );
      const path =
        "environments.trial.groups[booking].reads.kinds[stock].tables";
      expect(changes.map(formatChange)).toEqual([
        `+ ${path}["a\\n- accounts[app]: 1"]: "a\\n- accounts[app]: 1"`,
        `+ ${path}["b#2"]: "b#2"`,
        `+ ${path}[b]: "b"`,
        `+ ${path}[b#2]: "b"`,
      ]);
    });

    it("shows an environment as added, whatever its name", () => {
      const value = parseYaml(sampleDocument());
      value.environments.constructor = value.environments.trial;
      const [change, ...others] = diffDocuments(
        parse(sampleValue()),
        parse(value),
      );
      expect(change?.path).toEqual("environments.constructor");
      expect(change?.before).toEqual(undefined);
      expect(others).toEqual([]);
    });

    it("redacts password hashes", () => {
      const document = parse(sampleValue());
      const changes = JSON.stringify(diffDocuments(undefined, document));
      expect(changes.includes("scrypt$")).toEqual(false);
    });
  });

  describe("password", () => {
    it("matches only its own hash", async () => {
      const hash = await hashPassword("wheel swap");
      expect(await verifyPassword("wheel swap", hash)).toEqual(true);
      expect(await verifyPassword("wheel swop", hash)).toEqual(false);
    });

    it("never matches a malformed hash", async () => {
      const texts = ["", "scrypt$", "scrypt$3$8$1$AA==$AA==", "md5$1$1$1$a$b"];
      for (const text of texts) {
        expect(await verifyPassword("", text)).toEqual(false);
      }
    });
  });
});

type Path = readonly (string | number)[];

function leafPaths(value: unknown, path: Path = []): Path[] {
  if (typeof value !== "object" || value === null) return [path];
  return Object.entries(value).flatMap(([key, item]) =>
    leafPaths(item, [...path, Array.isArray(value) ? Number(key) : key])
  );
}

function replaceAt(value: unknown, path: Path, leaf: unknown): unknown {
  const [key, ...rest] = path;
  if (key === undefined) return leaf;
  if (Array.isArray(value)) {
    return value.map((item, index) =>
      index === key ? replaceAt(item, rest, leaf) : item
    );
  }
  const object = value as Record<string, unknown>;
  return { ...object, [key]: replaceAt(object[key], rest, leaf) };
}
